package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const blockWords = 16

// Answer is the answer to one prompt. Its tokens depend on the prompt and on
// their position only.
type Answer struct {
	seed uint64
}

// NewAnswer returns the answer to prompt.
func NewAnswer(prompt string) Answer { return Answer{seed: xxhash.Sum64String(prompt)} }

// Token returns the token at a position, counted from 0.
func (a Answer) Token(position int) string {
	x := a.seed + uint64(position+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return "t" + strconv.FormatUint((x^x>>31)>>34, 36)
}

// prefixes returns the number of words of a prompt and the xxhash of each
// prefix of whole blocks, its words joined by one blank.
func prefixes(prompt string) (int, []uint64) {
	words := strings.Fields(prompt)
	hashes := make([]uint64, 0, len(words)/blockWords)
	digest := xxhash.New()
	for i, word := range words {
		if i > 0 {
			_, _ = digest.WriteString(" ")
		}
		_, _ = digest.WriteString(word)
		if (i+1)%blockWords == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return len(words), hashes
}
