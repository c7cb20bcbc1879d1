// Command pomelotiller runs the serving system's daemons and is the operators'
// tool to check, publish and read configurations.
package main

import "os"

func main() {
	os.Exit(runCommandLine(os.Args[1:], os.Stdout, os.Stderr))
}
