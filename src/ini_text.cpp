#include "ini_text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <ini.h>
#include <set>
#include <sstream>

namespace sp {

namespace {

    /** Hands inih the text line by line and counts the lines, since Debian's build does not pass line numbers on. */
    struct LineSource {
        std::istringstream stream;
        int line = 0;
        std::vector<int> longLines; ///< Lines that inih would cut without a word.
        std::vector<std::pair<std::string, int>> titles; ///< Sections with their lines; inih leaves out empty ones.
    };

    constexpr std::size_t maxTitle = 48; ///< inih keeps 49 characters of a section's title.

    bool isTooLong(const std::string& line, std::size_t room)
    {
        if (line.empty() || line[0] == ';' || line[0] == '#')
            return false;
        return line.size() > room || (line[0] == '[' && line.find(']') > maxTitle + 1);
    }

    char* nextLine(char* buffer, int size, void* source)
    {
        auto& lines = *static_cast<LineSource*>(source);
        std::string line;
        if (!std::getline(lines.stream, line))
            return nullptr;
        ++lines.line;
        if (isTooLong(line, static_cast<std::size_t>(size) - 2))
            lines.longLines.push_back(lines.line);
        if (const auto end = line.find(']'); !line.empty() && line.front() == '[' && end != std::string::npos)
            lines.titles.emplace_back(line.substr(1, end - 1), lines.line);
        line.resize(std::min<std::size_t>(line.size(), static_cast<std::size_t>(size) - 2));
        line += '\n';
        std::memcpy(buffer, line.c_str(), line.size() + 1);
        return buffer;
    }

    std::pair<std::string, std::string> splitTitle(const std::string& title)
    {
        const auto space = title.find(' ');
        if (space == std::string::npos)
            return { title, {} };
        const auto name = title.find_first_not_of(' ', space);
        return { title.substr(0, space), name == std::string::npos ? std::string() : title.substr(name) };
    }

    std::string joinTitle(const std::string& kind, const std::string& name)
    {
        return name.empty() ? kind : kind + " " + name;
    }

    std::vector<std::string> splitList(const std::string& text, char separator)
    {
        std::vector<std::string> items;
        std::istringstream stream(text);
        for (std::string item; std::getline(stream, item, separator);) {
            item.erase(0, item.find_first_not_of(' '));
            item.erase(item.find_last_not_of(' ') + 1);
            items.push_back(item);
        }
        return items;
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isalnum(c) || c == '-' || c == '_';
        });
    }

    template <typename T> bool parseNumber(const std::string& text, T& number)
    {
        const char* last = text.data() + text.size();
        const auto [end, error] = std::from_chars(text.data(), last, number);
        return error == std::errc() && end == last;
    }

    std::string rangeText(const KeyInfo& info)
    {
        std::ostringstream out;
        out << "from " << info.min << " to " << info.max;
        if (!info.unit.empty())
            out << ' ' << info.unit;
        return out.str();
    }

} // namespace

/** Parses a time with its unit. @param text For instance `250ms`. @param span Set to the time. @return False if
 * malformed. */
bool parseSpan(const std::string& text, std::chrono::milliseconds& span)
{
    std::int64_t number = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc() || number < 0 || number > 1'000'000'000)
        return false;
    const std::string unit(end, last);
    if (unit == "ms")
        span = std::chrono::milliseconds(number);
    else if (unit == "s")
        span = std::chrono::seconds(number);
    else if (unit == "min")
        span = std::chrono::minutes(number);
    else if (unit == "h")
        span = std::chrono::hours(number);
    else
        return false;
    return true;
}

/** Whether a text is an address by number. @param text `ip:port` or `[ip6]:port`. @return True if well-formed. */
bool isAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::uint16_t port = 0;
    if (!parseNumber(text.substr(colon + 1), port))
        return false;
    std::string host = text.substr(0, colon);
    unsigned char buffer[sizeof(in6_addr)];
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buffer) == 1;
    return inet_pton(AF_INET, host.c_str(), buffer) == 1;
}

/** One line for people. @param file Name of the file. @param problem Problem. @return `file:line: key: problem;
 * remedy`. */
std::string problemText(const std::string& file, const TextProblem& problem)
{
    std::ostringstream out;
    out << file;
    if (problem.line > 0)
        out << ':' << problem.line;
    out << ": " << problem.key << ": " << problem.problem;
    if (!problem.remedy.empty())
        out << "; expected " << problem.remedy;
    return out.str();
}

/**
 * Parses and checks a text.
 * @param text INI text.
 * @param table Keys that may occur; must outlive the result.
 * @return Result with all problems found, in the order of their lines.
 */
Ini Ini::parse(const std::string& text, std::span<const KeyInfo> table)
{
    Ini ini;
    ini.m_table = table;
    LineSource source { std::istringstream(text), 0, {}, {} };
    struct Context {
        Ini* ini;
        LineSource* source;
    } context { &ini, &source };
    const auto handler = [](void* user, const char* section, const char* key, const char* value) {
        auto& self = *static_cast<Context*>(user);
        self.ini->take(section, key, value ? value : "", self.source->line);
        return 1;
    };
    if (text.find('\0') != std::string::npos)
        ini.m_problems.push_back({ 0, "text", "contains a zero byte", "text" });
    else if (const int line = ini_parse_stream(nextLine, &source, handler, &context); line > 0)
        ini.m_problems.push_back({ line, "text", "is neither a section, a key nor a comment",
            "[section] or key = value, at most 190 characters" });
    for (const int line : source.longLines)
        ini.m_problems.push_back({ line, "text", "is too long",
            "a line of at most 190 characters, a section title of at most " + std::to_string(maxTitle) });
    ini.addTitles(source.titles);
    ini.checkRequired();
    std::stable_sort(ini.m_problems.begin(), ini.m_problems.end(),
        [](const TextProblem& left, const TextProblem& right) { return left.line < right.line; });
    return ini;
}

/** Adds a problem that concerns several keys. @param section Title. @param key Key. @param problem Problem. @param
 * remedy What is expected. */
void Ini::addProblem(const std::string& section, const std::string& key, std::string problem, std::string remedy)
{
    m_problems.push_back({ lineOf(section, key), section + "." + key, std::move(problem), std::move(remedy) });
}

/** @param title Title of a section. @param key Key. @return Line of the key, else of its section, else 0. */
int Ini::lineOf(const std::string& title, const std::string& key) const
{
    const auto it = m_sections.find(splitTitle(title));
    if (it == m_sections.end())
        return 0;
    const auto entry = it->second.entries.find(key);
    return entry == it->second.entries.end() ? it->second.line : entry->second.line;
}

void Ini::take(const std::string& title, const std::string& key, const std::string& value, int line)
{
    const auto [kind, name] = splitTitle(title);
    auto& section = m_sections[{ kind, name }];
    if (section.line == 0)
        section.line = line;
    const KeyInfo* info = find(kind, key);
    if (!info) {
        const bool knownKind = std::any_of(
            m_table.begin(), m_table.end(), [&kind = kind](const KeyInfo& row) { return row.section == kind; });
        m_problems.push_back({ line, title + "." + key, knownKind ? "unknown key" : "unknown section",
            "a key of docs/configuration.md" });
        return;
    }
    if (const auto [it, added] = section.entries.emplace(key, Entry { value, line }); !added) {
        m_problems.push_back(
            { line, title + "." + key, "given twice, first in line " + std::to_string(it->second.line), "one value" });
        return;
    }
    checkValue(*info, title, section.entries[key]);
}

/** Gives each section the line of its title and takes in sections without keys. @param titles Titles with lines. */
void Ini::addTitles(const std::vector<std::pair<std::string, int>>& titles)
{
    std::set<SectionId> seen;
    for (const auto& [title, line] : titles) {
        const SectionId id = splitTitle(title);
        if (!seen.insert(id).second)
            continue;
        const bool empty = !m_sections.contains(id);
        m_sections[id].line = line;
        const bool known
            = std::any_of(m_table.begin(), m_table.end(), [&](const KeyInfo& row) { return row.section == id.first; });
        if (empty && !known)
            m_problems.push_back({ line, title, "unknown section", "a section of docs/configuration.md" });
    }
}

void Ini::checkValue(const KeyInfo& info, const std::string& title, const Entry& entry)
{
    const std::string& value = entry.value;
    const auto complain = [&](const std::string& problem, const std::string& remedy) {
        m_problems.push_back({ entry.line, title + "." + std::string(info.key), problem, remedy });
    };
    const auto checkRange = [&](double number) {
        if (number < info.min || number > info.max)
            complain("'" + value + "' is out of range", rangeText(info));
    };
    switch (info.type) {
    case KeyType::Text:
        if (value.empty())
            complain("is empty", "a text");
        break;
    case KeyType::Name:
        if (!isName(value))
            complain("'" + value + "' is no name", "letters, digits, - and _");
        break;
    case KeyType::List: {
        const auto items = splitList(value, ',');
        if (items.empty() || !std::all_of(items.begin(), items.end(), isName))
            complain("'" + value + "' is no list of names", "names separated by commas");
        break;
    }
    case KeyType::Integer:
        if (std::int64_t number = 0; parseNumber(value, number))
            checkRange(static_cast<double>(number));
        else
            complain("'" + value + "' is no whole number", rangeText(info));
        break;
    case KeyType::Real:
        if (double number = 0; parseNumber(value, number))
            checkRange(number);
        else
            complain("'" + value + "' is no number", rangeText(info));
        break;
    case KeyType::Flag:
        if (value != "true" && value != "false")
            complain("'" + value + "' is neither true nor false", "true or false");
        break;
    case KeyType::Span:
        if (std::chrono::milliseconds span; parseSpan(value, span))
            checkRange(static_cast<double>(span.count()));
        else
            complain("'" + value + "' is no time with a unit", "a number with ms, s, min or h, such as 250ms");
        break;
    case KeyType::Address:
        if (!isAddress(value))
            complain("'" + value + "' is no address", "ip:port by number, such as 127.0.0.1:7000");
        break;
    case KeyType::Choice:
        if (const auto choices = splitList(std::string(info.choices), '|');
            std::find(choices.begin(), choices.end(), value) == choices.end())
            complain("'" + value + "' is not allowed", "one of " + std::string(info.choices));
        break;
    }
}

void Ini::checkRequired()
{
    for (const KeyInfo& info : m_table) {
        if (info.standard != "!")
            continue;
        for (const auto& [id, section] : m_sections) {
            if (id.first == info.section && !section.entries.contains(std::string(info.key)))
                m_problems.push_back({ section.line, joinTitle(id.first, id.second) + "." + std::string(info.key),
                    "is missing", std::string(info.text) });
        }
    }
}

const KeyInfo* Ini::find(const std::string& kind, const std::string& key) const
{
    const auto it = std::find_if(
        m_table.begin(), m_table.end(), [&](const KeyInfo& info) { return info.section == kind && info.key == key; });
    return it == m_table.end() ? nullptr : &*it;
}

/** Whether a section is there. @param kind First word of its title. @param name Rest of its title. @return True if so.
 */
bool Ini::hasSection(const std::string& kind, const std::string& name) const
{
    return m_sections.contains({ kind, name });
}

/** Names of all sections of a kind. @param kind First word of the title. @return Names in alphabetical order. */
std::vector<std::string> Ini::sectionNames(const std::string& kind) const
{
    std::vector<std::string> names;
    for (const auto& [id, section] : m_sections) {
        if (id.first == kind)
            names.push_back(id.second);
    }
    return names;
}

/** Whether a key is given rather than defaulted. @param kind Section. @param name Section name. @param key Key. @return
 * True if given. */
bool Ini::isGiven(const std::string& kind, const std::string& name, const std::string& key) const
{
    const auto it = m_sections.find({ kind, name });
    return it != m_sections.end() && it->second.entries.contains(key);
}

/** Value as text. @param kind Section. @param name Section name. @param key Key. @return Value or default. */
std::string Ini::text(const std::string& kind, const std::string& name, const std::string& key) const
{
    if (const auto it = m_sections.find({ kind, name }); it != m_sections.end()) {
        if (const auto entry = it->second.entries.find(key); entry != it->second.entries.end())
            return entry->second.value;
    }
    const KeyInfo* info = find(kind, key);
    return info && info->standard != "!" ? std::string(info->standard) : std::string();
}

/** Value as a list. @param kind Section. @param name Section name. @param key Key. @return Items. */
std::vector<std::string> Ini::list(const std::string& kind, const std::string& name, const std::string& key) const
{
    return splitList(text(kind, name, key), ',');
}

/** Value as a whole number. @param kind Section. @param name Section name. @param key Key. @return Number, 0 if
 * malformed. */
std::int64_t Ini::integer(const std::string& kind, const std::string& name, const std::string& key) const
{
    std::int64_t number = 0;
    return parseNumber(text(kind, name, key), number) ? number : 0;
}

/** Value as a number. @param kind Section. @param name Section name. @param key Key. @return Number, 0 if malformed. */
double Ini::real(const std::string& kind, const std::string& name, const std::string& key) const
{
    double number = 0;
    return parseNumber(text(kind, name, key), number) ? number : 0;
}

/** Value as a flag. @param kind Section. @param name Section name. @param key Key. @return True for `true`. */
bool Ini::flag(const std::string& kind, const std::string& name, const std::string& key) const
{
    return text(kind, name, key) == "true";
}

/** Value as a time. @param kind Section. @param name Section name. @param key Key. @return Time, 0 if malformed. */
std::chrono::milliseconds Ini::span(const std::string& kind, const std::string& name, const std::string& key) const
{
    std::chrono::milliseconds span { 0 };
    return parseSpan(text(kind, name, key), span) ? span : std::chrono::milliseconds(0);
}

} // namespace sp
