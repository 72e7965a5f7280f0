package main

// The blank imports register the plug-ins of the profile "pools" and those that
// both profiles use.
import (
	_ "nutmegrouter/plugin/admin"
	_ "nutmegrouter/plugin/control"
	_ "nutmegrouter/plugin/dispatch"
	_ "nutmegrouter/plugin/entry"
	_ "nutmegrouter/plugin/fleet"
	_ "nutmegrouter/plugin/lease"
	_ "nutmegrouter/plugin/mesh"
	_ "nutmegrouter/plugin/orders"
	_ "nutmegrouter/plugin/pool"
	_ "nutmegrouter/plugin/scheduler"
)
