//go:build !race

package rollout

const raceDetector = false
