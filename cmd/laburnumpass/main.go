// Command laburnumpass is the command-line client for callers and operators.
package main

import "github.com/laburnumpass/laburnumpass/internal/cli"

func main() { cli.Run() }
