package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxProofAge bounds the age of a peer's proof, and so the clock skew between VMs.
const maxProofAge = time.Minute

const proofScheme = "Peer "

// signHeader sets the header that proves knowledge of the shared key:
// "Peer <vm id>:<unix seconds>:<hmac>".
func signHeader(header http.Header, key []byte, self string, now time.Time) {
	at := strconv.FormatInt(now.Unix(), 10)
	header.Set("Authorization", fmt.Sprintf("%s%s:%s:%s", proofScheme, self, at, proofMAC(key, self, at)))
}

// verifyHeader returns the peer's ID if its header proves knowledge of the key.
func verifyHeader(header http.Header, key []byte, now time.Time) (peer string, ok bool) {
	rest, found := strings.CutPrefix(header.Get("Authorization"), proofScheme)
	parts := strings.Split(rest, ":")
	if !found || len(parts) != 3 {
		return "", false
	}
	seconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return "", false
	}
	if age := now.Sub(time.Unix(seconds, 0)); age > maxProofAge || age < -maxProofAge {
		return "", false
	}
	return parts[0], hmac.Equal([]byte(proofMAC(key, parts[0], parts[1])), []byte(parts[2]))
}

func proofMAC(key []byte, self, at string) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("endivespoke peer " + self + " " + at)) // Writes to a hash do not fail.
	return hex.EncodeToString(mac.Sum(nil))
}
