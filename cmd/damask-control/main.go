// Command damask-control runs one control VM.
package main

func main() {}
