package pgserver

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/outcome"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const scramMechanism = "SCRAM-SHA-256"

// Parameters of the placeholder credentials for unknown users, whose login fails
// in the same way as with a wrong password.
const (
	unknownUserIterations = 4096
	unknownUserSaltBytes  = 16
)

// authenticate runs SCRAM-SHA-256 against the verifier of the user's plan.
func (c *conn) authenticate(configuration *state.Configuration, user string) (state.Plan, error) {
	plan, known := configuration.PlanByUser(user)
	credentials := unknownCredentials(user)
	if known {
		parsed, err := parseVerifier(plan.PasswordVerifier)
		if err != nil {
			c.server.log.Error().Err(err).Str("step", "authenticate").Str("plan", string(plan.ID)).Msg("invalid password verifier")
			known = false
		} else {
			credentials = parsed
		}
	}
	if err := c.runSCRAM(credentials); err != nil {
		return state.Plan{}, err
	}
	if !known {
		return state.Plan{}, c.rejectPassword()
	}
	return plan, nil
}

func (c *conn) rejectPassword() error {
	return c.sendFatal(outcome.NewError(outcome.SQLStateInvalidPassword, "password authentication failed"))
}

func (c *conn) runSCRAM(credentials scram.StoredCredentials) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return eris.Wrap(err, "start authentication")
	}
	conversation := server.NewConversation()
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := c.receiveSASLInitial()
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return c.rejectPassword()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	final, err := c.receiveSASLFinal()
	if err != nil {
		return err
	}
	verification, err := conversation.Step(final)
	if err != nil || !conversation.Valid() {
		return c.rejectPassword()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(verification)})
	return nil
}

func (c *conn) receiveSASLInitial() (string, error) {
	if err := c.backend.Flush(); err != nil {
		return "", eris.Wrap(err, "send authentication request")
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return "", eris.Wrap(err, "expect authentication")
	}
	message, err := c.backend.Receive()
	if err != nil {
		return "", eris.Wrap(err, "receive authentication")
	}
	initial, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != scramMechanism {
		return "", c.sendFatal(outcome.NewError(outcome.SQLStateProtocolViolation, "expected SCRAM-SHA-256 authentication"))
	}
	return string(initial.Data), nil
}

func (c *conn) receiveSASLFinal() (string, error) {
	if err := c.backend.Flush(); err != nil {
		return "", eris.Wrap(err, "send challenge")
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return "", eris.Wrap(err, "expect authentication")
	}
	message, err := c.backend.Receive()
	if err != nil {
		return "", eris.Wrap(err, "receive authentication")
	}
	response, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return "", c.sendFatal(outcome.NewError(outcome.SQLStateProtocolViolation, "expected a SASL response"))
	}
	return string(response.Data), nil
}

// parseVerifier parses PostgreSQL's stored form of a SCRAM-SHA-256 password:
// SCRAM-SHA-256$iterations:salt$stored key:server key. The salt and the keys are
// in base64.
func parseVerifier(verifier string) (scram.StoredCredentials, error) {
	var credentials scram.StoredCredentials
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != scramMechanism {
		return credentials, eris.New("parse verifier: want SCRAM-SHA-256$iterations:salt$stored:server")
	}
	iterationsText, saltText, _ := strings.Cut(parts[1], ":")
	storedText, serverText, _ := strings.Cut(parts[2], ":")
	iterations, err := strconv.Atoi(iterationsText)
	if err != nil {
		return credentials, eris.Wrap(err, "parse verifier: iterations")
	}
	salt, err := base64.StdEncoding.DecodeString(saltText)
	if err != nil {
		return credentials, eris.Wrap(err, "parse verifier: salt")
	}
	storedKey, err := base64.StdEncoding.DecodeString(storedText)
	if err != nil {
		return credentials, eris.Wrap(err, "parse verifier: stored key")
	}
	serverKey, err := base64.StdEncoding.DecodeString(serverText)
	if err != nil {
		return credentials, eris.Wrap(err, "parse verifier: server key")
	}
	credentials.Salt = string(salt)
	credentials.Iters = iterations
	credentials.StoredKey = storedKey
	credentials.ServerKey = serverKey
	return credentials, nil
}

// unknownCredentials returns credentials that match no password. They are always
// the same for one user name, as those of a known user are.
func unknownCredentials(user string) scram.StoredCredentials {
	digest := hmac.New(sha256.New, []byte("unknown user"))
	digest.Write([]byte(user))
	sum := digest.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:unknownUserSaltBytes]), Iters: unknownUserIterations},
		StoredKey:  sum,
		ServerKey:  sum,
	}
}
