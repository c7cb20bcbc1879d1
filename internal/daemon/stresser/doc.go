// Package stresser tests a daemon with callers that nobody controls. It runs the daemon as a real process on
// loopback addresses, with stand-ins for the endpoint and the platform, and lets a crowd of callers send requests
// that are slow, never end or are made of very many small parts. The tests check only what does not depend on
// speed: the process lives, its memory and its open descriptors stay under a bound, and an ordinary request is
// answered afterwards.
package stresser
