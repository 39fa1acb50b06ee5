/** @file ini_text.h INI texts that are checked against a table of keys. */
#pragma once

#include "bundle_type.h"
#include "ini_type.h"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace sp {

/**
 * An INI text and everything that is wrong with it. Section titles are `[kind]` or `[kind name]`. A key that is not
 * given has the default of the table.
 */
class Ini {
public:
    static Ini parse(const std::string& text, std::span<const KeyInfo> table);

    const std::vector<TextProblem>& problems() const { return m_problems; }
    void addProblem(const std::string& section, const std::string& key, std::string problem, std::string remedy);
    int lineOf(const std::string& title, const std::string& key) const;
    bool hasSection(const std::string& kind, const std::string& name = {}) const;
    std::vector<std::string> sectionNames(const std::string& kind) const;
    bool isGiven(const std::string& kind, const std::string& name, const std::string& key) const;
    std::string text(const std::string& kind, const std::string& name, const std::string& key) const;
    std::vector<std::string> list(const std::string& kind, const std::string& name, const std::string& key) const;
    std::int64_t integer(const std::string& kind, const std::string& name, const std::string& key) const;
    double real(const std::string& kind, const std::string& name, const std::string& key) const;
    bool flag(const std::string& kind, const std::string& name, const std::string& key) const;
    std::chrono::milliseconds span(const std::string& kind, const std::string& name, const std::string& key) const;

private:
    struct Entry {
        std::string value;
        int line = 0;
    };
    struct Section {
        int line = 0;
        std::map<std::string, Entry> entries;
    };
    using SectionId = std::pair<std::string, std::string>; ///< Kind and name.

    void take(const std::string& title, const std::string& key, const std::string& value, int line);
    void checkValue(const KeyInfo& info, const std::string& title, const Entry& entry);
    void addTitles(const std::vector<std::pair<std::string, int>>& titles);
    void checkRequired();
    const KeyInfo* find(const std::string& kind, const std::string& key) const;

    std::span<const KeyInfo> m_table;
    std::map<SectionId, Section> m_sections;
    std::vector<TextProblem> m_problems;
};

bool parseSpan(const std::string& text, std::chrono::milliseconds& span);
bool isAddress(const std::string& text);
std::string problemText(const std::string& file, const TextProblem& problem);

} // namespace sp
