// Command godwityoke runs, operates and tests a serving layer that places requests with
// prompts of very different lengths on backend servers.
package main

import (
	"os"

	"godwityoke.example/godwityoke/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
