package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// KeptVerifier replaces the password verifier of a plan in all output. In an
// edit it means that the plan keeps its current verifier.
const KeptVerifier = "kept"

// Parameters of new verifiers.
const (
	verifierIterations = 4096
	verifierSaltBytes  = 16
	// minVerifierIterations is the lowest iteration count that RFC 7677 allows.
	minVerifierIterations = 4096
	maxVerifierIterations = 1_000_000
)

const verifierMechanism = "SCRAM-SHA-256"

// NewVerifier computes the SCRAM-SHA-256 verifier of a password in PostgreSQL's
// format. The salt is derived from the edit's unique id and the plan, so that a
// repeated edit contains the same verifier.
func NewVerifier(password, editID string, plan state.PlanID) (string, error) {
	if password == "" {
		return "", eris.New("the password is empty")
	}
	client, err := scramClient(password)
	if err != nil {
		return "", eris.Wrap(err, "prepare the password")
	}
	seed := sha256.Sum256([]byte("verifier salt\x00" + editID + "\x00" + string(plan)))
	salt := seed[:verifierSaltBytes]
	keys, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: verifierIterations})
	if err != nil {
		return "", eris.Wrap(err, "derive the password's keys")
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", verifierMechanism, verifierIterations, encode(salt),
		encode(keys.StoredKey), encode(keys.ServerKey)), nil
}

// scramClient normalises the password with SASLprep. If that fails, it uses the
// password unchanged, as PostgreSQL does.
func scramClient(password string) (*scram.Client, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err == nil {
		return client, nil
	}
	return scram.SHA256.NewClientUnprepped("", password, "")
}

// verifierProblem describes what is wrong with a verifier. It returns "" if the
// verifier is valid.
func verifierProblem(verifier string) string {
	if verifier == KeptVerifier {
		return "there is no earlier password to keep"
	}
	const form = "want SCRAM-SHA-256$iterations:salt$stored:server"
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != verifierMechanism {
		return form
	}
	iterationText, salt, hasSalt := strings.Cut(parts[1], ":")
	stored, server, hasServer := strings.Cut(parts[2], ":")
	iterations, err := strconv.Atoi(iterationText)
	if err != nil || !hasSalt || !hasServer {
		return form
	}
	if iterations < minVerifierIterations || iterations > maxVerifierIterations {
		return fmt.Sprintf("has %d iterations, want %d to %d", iterations, minVerifierIterations, maxVerifierIterations)
	}
	if !isBase64(salt, 0) || !isBase64(stored, sha256.Size) || !isBase64(server, sha256.Size) {
		return form
	}
	return ""
}

// isBase64 reports whether text is the base64 encoding of size bytes, or of at
// least one byte if size is zero.
func isBase64(text string, size int) bool {
	decoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(decoded) == 0 {
		return false
	}
	return size == 0 || len(decoded) == size
}

// Redacted returns a copy of a configuration in which KeptVerifier replaces the
// plans' password verifiers.
func Redacted(configuration *state.Configuration) *state.Configuration {
	redacted := *configuration
	redacted.Plans = make([]state.Plan, len(configuration.Plans))
	for i, plan := range configuration.Plans {
		plan.PasswordVerifier = KeptVerifier
		redacted.Plans[i] = plan
	}
	return &redacted
}
