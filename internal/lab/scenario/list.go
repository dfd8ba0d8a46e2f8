package scenario

import "slices"

// All returns every scenario, in the order of the guarantees that they prove.
func All() []Scenario {
	return slices.Concat(backEndScenarios(), controllerScenarios(), diskScenarios(), routerScenarios(), unreachedScenarios(), copiesScenarios(),
		stopScenarios(), answerScenarios(), refusalScenarios(), resendScenarios(), operatorScenarios(), adoptionScenarios(),
		encryptedScenarios(), loadScenarios(), placementScenarios(), mergeScenarios(), combinedScenarios())
}

// Find returns the scenario of a name.
func Find(name string) (Scenario, bool) {
	all := All()
	position := slices.IndexFunc(all, func(known Scenario) bool { return known.Name == name })
	if position < 0 {
		return Scenario{}, false
	}
	return all[position], true
}
