// Runs every fuzz entry point on the committed corpus and on mutations of it,
// in a fixed order, so that a fault once found by a fuzzer is tested for
// without the fuzzer.
#include <gtest/gtest.h>

#include <algorithm>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "base/random.h"
#include "fuzz/entries.h"

namespace {

const int kMutations = 3000;

std::vector<std::string>
Corpus(const std::string &entry)
{
    std::vector<std::string> paths;
    for (const auto &file : std::filesystem::directory_iterator(
             std::string(CG_CORPUS) + "/" + entry)) {
        paths.push_back(file.path().string());
    }
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> out;
    for (const std::string &path : paths) {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        out.push_back(text.str());
    }
    return out;
}

std::string
Mutate(struct rn_random *random, const std::vector<std::string> &corpus)
{
    std::string text = corpus[Rn_Below(random, (uint32_t)corpus.size())];
    const std::string &other =
        corpus[Rn_Below(random, (uint32_t)corpus.size())];
    for (uint32_t i = 1 + Rn_Below(random, 6); i > 0 && !text.empty(); i--) {
        size_t at = Rn_Below(random, (uint32_t)text.size());
        size_t len = Rn_Below(random, 24);
        switch (Rn_Below(random, 5)) {
        case 0:
            text[at] = (char)Rn_Below(random, 256);
            break;
        case 1:
            text.erase(at, len);
            break;
        case 2:
            text.insert(at, text.substr(at, len));
            break;
        case 3:
            text.insert(at, std::to_string((int)Rn_Below(random, 1U << 31)));
            break;
        default:
            text.insert(at, other.substr(other.size() / 2, len * 4));
            break;
        }
    }
    return text;
}

void
Feed(const struct fz_entry &entry, const std::string &text)
{
    entry.run(reinterpret_cast<const uint8_t *>(text.data()), text.size());
}

TEST(Entries, CorpusAndMutations)
{
    for (size_t i = 0; i < Fz_Count; i++) {
        const struct fz_entry &entry = Fz_Entries[i];
        SCOPED_TRACE(entry.name);
        std::vector<std::string> corpus = Corpus(entry.name);
        ASSERT_FALSE(corpus.empty());
        Feed(entry, "");
        for (const std::string &text : corpus) {
            Feed(entry, text);
        }
        struct rn_random random;
        Rn_Seed(&random, 7 + i);
        for (int round = 0; round < kMutations; round++) {
            Feed(entry, Mutate(&random, corpus));
        }
    }
}

} // namespace
