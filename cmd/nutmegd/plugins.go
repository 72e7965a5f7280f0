package main

// The plug-ins of the daemon register themselves when imported.
import (
	_ "nutmegrouter/plugin/admin"
	_ "nutmegrouter/plugin/control"
	_ "nutmegrouter/plugin/fleet"
	_ "nutmegrouter/plugin/lease"
	_ "nutmegrouter/plugin/mesh"
)
