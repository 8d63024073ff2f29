// Command upstream-emulator emulates a model engine or a plain service.
package main

import (
	"os"

	"marigoldshunt/internal/emulator"
)

func main() { emulator.Main(os.Args[1:]) }
