package owner

import (
	"time"

	"nutmegrouter/internal/rollout"
)

// RolloutController is what an owner needs of the controller of a rollout.
type RolloutController = rolloutController

// SetNewController replaces the controllers of rollouts and returns a function that restores them.
func SetNewController(f func(c rollout.Config, a rollout.Account, orderedAt, now time.Duration) RolloutController) (restore func()) {
	before := newController
	newController = f
	return func() { newController = before }
}
