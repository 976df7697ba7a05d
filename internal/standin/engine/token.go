package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockWords is the number of words in a block of the prefix cache.
const blockWords = 16

// Answer generates the answer to one prompt. A token depends only on the prompt
// and on the position of the token.
type Answer struct {
	seed uint64
}

// NewAnswer returns the answer to prompt.
func NewAnswer(prompt string) Answer { return Answer{seed: xxhash.Sum64String(prompt)} }

// Token returns the token at a zero-based position.
func (a Answer) Token(position int) string {
	x := a.seed + uint64(position+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return "t" + strconv.FormatUint((x^x>>31)>>34, 36)
}

// prefixes returns the number of words of a prompt and the xxhash of each prefix
// that consists of complete blocks, with the words joined by single spaces.
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
