package main

// The blank imports register the plug-ins of the profile "routes".
import (
	_ "nutmegrouter/platform"
	_ "nutmegrouter/plugin/directory"
	_ "nutmegrouter/plugin/forward"
	_ "nutmegrouter/plugin/gateway"
	_ "nutmegrouter/plugin/members"
	_ "nutmegrouter/plugin/operators"
	_ "nutmegrouter/plugin/owner"
	_ "nutmegrouter/plugin/placer"
)
