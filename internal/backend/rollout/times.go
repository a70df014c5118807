package rollout

// Fractions of a roll-out's time. A stage ends at the first of its times if the evidence is for the
// new version, and at the last one if there is too little of it.
const (
	canaryMark   = 0.35 // Evidence for the new version counts from here on in the stage canary.
	canaryEnd    = 0.55 // The earliest.
	canaryLatest = 0.58
	idleEnd      = 0.7 // For a version that has answered nothing yet.
	loadMin      = 0.04
	loadTime     = 0.06 // The longest.
	loadEnd      = canaryLatest + loadTime
	shiftMin     = 0.03
	shiftTime    = 0.05
	// serverlessTime is how long a version may have no server that accepts work after it had some.
	serverlessTime = 0.25
)

// missingTime is how long, in milliseconds, a VM must be gone until its work counts as ended.
const missingTime = 3000

// fewOutcomes is the number of outcomes of the new version without which time alone doesn't lead on.
const fewOutcomes = 3
