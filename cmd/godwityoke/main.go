// Command godwityoke is a serving layer for prompts of very unlike lengths.
package main

import (
	"os"

	"godwityoke.example/godwityoke/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
