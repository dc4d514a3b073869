package configuration

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func TestParseFileReportsEachErrorWithPathAndLine(t *testing.T) {
	_, err := ParseFile([]byte(`{
  "plans": [
    {"id": "a", "id": "b", "user": 7},
    {"id": null, "colour": {"x": [1]}}
  ],
  "limits": [
    {"plan": "a",
     "max_connections": "5",
     "weight": 1.5,
     "databases": {"g": 1}}
  ],
  "extra": 1
}`))
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	var messages []string
	for _, field := range invalid.Fields {
		messages = append(messages, field.String())
	}
	require.Equal(t, []string{
		"line 3: plans[0].id: stands twice",
		"line 3: plans[0].user: is 7, want a string",
		"line 4: plans[1].id: must not be null",
		"line 4: plans[1].colour: unknown key",
		`line 8: limits[0].max_connections: is "5", want an integer`,
		"line 9: limits[0].weight: is 1.5, want an integer",
		"line 10: limits[0].databases: is an object, want an array",
		"line 12: extra: unknown key",
	}, messages)
	for _, text := range []string{"", "[]", "7", "{}", `{"plans":[]} {}`, `{"plans":[}`, `{"Plans":[]}`, `{"plans":[],`} {
		_, err := ParseFile([]byte(text))
		require.ErrorAs(t, err, &invalid, text)
	}
}

func TestValidationErrorsGetTheLinesOfTheFile(t *testing.T) {
	file, err := ParseFile([]byte("{\"limits\": [\n{\"plan\": \"a\"},\n{\"plan\": \"x\",\n\"max_connections\": 1,\n\"databases\": [\"g\",\n\"h\"]}]}"))
	require.NoError(t, err)
	base := &state.Configuration{Plans: []state.Plan{testPlan("a", "")}}
	sorted := Diff(base, file.Merge(base)).Apply(base)
	sorted.Limits = append([]state.Limit{{Plan: "0", MaxConnections: 1}}, sorted.Limits...)
	sorted.Plans = append(sorted.Plans, testPlan("0", ""))
	err = file.AddLines(Validate(sorted, []state.GroupID{"g"}))
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, []FieldError{
		{Path: "limits[0].max_connections", Plan: "a", Line: 2, Message: "is 0, want 1 to 10000"},
		{Path: "limits[1].plan", Plan: "x", Line: 3, Message: `there is no plan "x"`},
		{Path: "limits[1].databases[1]", Plan: "x", Line: 6, Message: `there is no database "h"`},
	}, invalid.Fields)
}

func TestParseFileNeverPanicsAndKeepsValidLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.SampledFrom([]string{
			"{", "}", "[", "]", ",", ":", `"plans"`, `"limits"`, `"id"`, `"revision"`, "7", "null", "\n", "1e999", `"`,
		})).Draw(t, "tokens")
		var joined []byte
		for _, token := range text {
			joined = append(joined, token...)
		}
		_, _ = ParseFile(joined)

		want := File{
			Plans:  []state.Plan{testPlan(state.PlanID(rapid.String().Draw(t, "id")), rapid.String().Draw(t, "text"))},
			Limits: []state.Limit{{Plan: "a", MaxConnections: rapid.Int().Draw(t, "connections")}},
		}
		encoded, err := json.Marshal(map[string]any{"plans": want.Plans, "limits": []any{map[string]any{
			"plan": "a", "max_connections": want.Limits[0].MaxConnections,
		}}})
		require.NoError(t, err)
		file, err := ParseFile(encoded)
		require.NoError(t, err)
		require.Equal(t, want.Plans, file.Plans)
		require.Equal(t, want.Limits, file.Limits)
	})
}

func TestValidateFindsErrorsAcrossTheLists(t *testing.T) {
	limit := state.Limit{Plan: "a", MaxConnections: 1, SessionScope: "all", Databases: []state.GroupID{"g", "g"}}
	configuration := &state.Configuration{
		Plans:  []state.Plan{testPlan("a", ""), testPlan("a", ""), {ID: "b", User: "b c", PasswordVerifier: KeptVerifier}},
		Limits: []state.Limit{limit, {Plan: "a", MaxConnections: 1, Weight: 101, MaxStalenessMillis: -1}},
	}
	var invalid *ValidationError
	require.ErrorAs(t, Validate(configuration, nil), &invalid)
	var paths []string
	for _, field := range invalid.Fields {
		paths = append(paths, field.Path)
	}
	require.Equal(t, []string{
		"plans[1].id", "plans[1].user", "plans[2].user", "plans[2].password_verifier",
		"limits[0].session_scope", "limits[0].databases[1]",
		"limits[1].plan", "limits[1].max_staleness_ms", "limits[1].weight",
	}, paths)
	require.NoError(t, Validate(&state.Configuration{Plans: []state.Plan{testPlan("a", "")}}, nil))
}

func TestVerifierHasPostgreSQLFormAndIsDeterministic(t *testing.T) {
	verifier, err := NewVerifier("pencil", "edit", "a")
	require.NoError(t, err)
	again, err := NewVerifier("pencil", "edit", "a")
	require.NoError(t, err)
	require.Equal(t, verifier, again)
	require.Empty(t, verifierProblem(verifier))
	other, err := NewVerifier("pencil", "edit 2", "a")
	require.NoError(t, err)
	require.NotEqual(t, verifier, other)
	redacted := Redacted(&state.Configuration{Plans: []state.Plan{{ID: "a", PasswordVerifier: verifier}}})
	require.Equal(t, KeptVerifier, redacted.Plans[0].PasswordVerifier)
}
