package main

// The plug-ins of the daemon register themselves when imported.
import (
	_ "nutmegrouter/plugin/fleet"
)
