//go:build race

package rollout

const raceDetector = true
