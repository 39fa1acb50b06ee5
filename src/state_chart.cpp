#include "state_chart.h"

#include <algorithm>
#include <sstream>

namespace sp {

namespace {

    std::optional<std::uint32_t> indexOf(const std::vector<std::string>& names, std::string_view name)
    {
        const auto it = std::find(names.begin(), names.end(), name);
        if (it == names.end())
            return std::nullopt;
        return static_cast<std::uint32_t>(it - names.begin());
    }

    std::uint32_t indexOrAdd(std::vector<std::string>& names, const std::string& name)
    {
        if (const auto index = indexOf(names, name))
            return *index;
        names.push_back(name);
        return static_cast<std::uint32_t>(names.size() - 1);
    }

    leaf::error_id failAt(std::string_view file, int line, const std::string& text)
    {
        return fail(ErrorKind::BadRequest, std::string(file) + ":" + std::to_string(line) + ": " + text);
    }

    leaf::error_id failIn(std::string_view file, const std::string& text)
    {
        return fail(ErrorKind::BadRequest, std::string(file) + ": " + text);
    }

} // namespace

/**
 * Reads and checks a chart.
 * @param text Text of the chart.
 * @param file Name for error messages.
 * @return Chart; BadRequest with file, line and cause for a syntax error, an unknown or doubled name, an event that a
 * state neither handles nor ignores, an unreachable state, or a state from which no final state can be reached.
 */
leaf::result<StateChart> StateChart::parse(std::string_view text, std::string_view file)
{
    StateChart chart;
    Names names;
    std::istringstream lines { std::string(text) };
    std::string content;
    for (int number = 1; std::getline(lines, content); ++number) {
        std::istringstream words(content.substr(0, content.find('#')));
        Line line { std::string(file), number, {} };
        for (std::string word; words >> word;)
            line.words.push_back(word);
        if (!line.words.empty())
            if (auto checked = chart.addLine(line, names); !checked)
                return checked.error();
    }
    if (chart.m_name.empty())
        return failIn(file, "no line 'chart NAME'");
    if (auto checked = chart.resolve(names); !checked)
        return checked.error();
    if (names.initial.size() != 1)
        return failIn(file, "exactly one line 'initial STATE' is expected");
    if (chart.m_final.empty())
        return failIn(file, "no line 'final STATE...'");
    if (auto checked = chart.checkComplete(file); !checked)
        return checked.error();
    if (auto checked = chart.checkPaths(file); !checked)
        return checked.error();
    return chart;
}

leaf::result<void> StateChart::addLine(const Line& line, Names& names)
{
    const auto& words = line.words;
    if (words.size() == 5 && words[1] == "->" && words[3] == "on")
        return addTransition(line);
    if (words.size() == 2 && words[0] == "chart" && m_name.empty())
        m_name = words[1];
    else if (words.size() == 2 && words[0] == "initial")
        names.initial.push_back(line);
    else if (words.size() >= 2 && words[0] == "final")
        names.finals.push_back(line);
    else if (words.size() >= 3 && words[1] == "ignores")
        names.ignores.push_back(line);
    else
        return failAt(line.file, line.number, "no statement of a state chart");
    return {};
}

leaf::result<void> StateChart::addTransition(const Line& line)
{
    const ChartState from = indexOrAdd(m_states, line.words[0]);
    const ChartState to = indexOrAdd(m_states, line.words[2]);
    const ChartEvent event = indexOrAdd(m_events, line.words[4]);
    if (!m_transitions.emplace(std::pair(from, event), to).second)
        return failAt(line.file, line.number, line.words[0] + " has two transitions on " + line.words[4]);
    return {};
}

leaf::result<void> StateChart::resolve(const Names& names)
{
    for (const Line& line : names.initial) {
        const auto found = state(line.words[1]);
        if (!found)
            return failAt(line.file, line.number, "unknown state " + line.words[1]);
        m_initial = *found;
    }
    for (const Line& line : names.finals) {
        for (std::size_t i = 1; i < line.words.size(); ++i) {
            const auto found = state(line.words[i]);
            if (!found)
                return failAt(line.file, line.number, "unknown state " + line.words[i]);
            m_final.insert(*found);
        }
    }
    for (const Line& line : names.ignores) {
        const auto from = state(line.words[0]);
        if (!from)
            return failAt(line.file, line.number, "unknown state " + line.words[0]);
        for (std::size_t i = 2; i < line.words.size(); ++i) {
            const auto found = event(line.words[i]);
            if (!found)
                return failAt(line.file, line.number, "unknown event " + line.words[i]);
            const std::pair key(*from, *found);
            if (m_transitions.contains(key) || !m_ignored.insert(key).second)
                return failAt(line.file, line.number, line.words[0] + " handles " + line.words[i] + " twice");
        }
    }
    return {};
}

leaf::result<void> StateChart::checkComplete(std::string_view file) const
{
    for (ChartState from = 0; from < m_states.size(); ++from) {
        for (ChartEvent event = 0; event < m_events.size(); ++event) {
            const std::pair key(from, event);
            if (!m_transitions.contains(key) && !m_ignored.contains(key))
                return failIn(file, "missing transition: " + m_states[from] + " on " + m_events[event]);
        }
    }
    return {};
}

leaf::result<void> StateChart::checkPaths(std::string_view file) const
{
    const std::set<ChartState> reachable = reachableFrom(m_initial);
    for (ChartState from = 0; from < m_states.size(); ++from) {
        if (!reachable.contains(from))
            return failIn(file, "unreachable state: " + m_states[from]);
        const std::set<ChartState> onward = reachableFrom(from);
        if (std::none_of(onward.begin(), onward.end(), [this](ChartState to) { return isFinal(to); }))
            return failIn(file, "no final state can be reached from " + m_states[from]);
    }
    return {};
}

std::set<ChartState> StateChart::reachableFrom(ChartState start) const
{
    std::set<ChartState> reached { start };
    std::vector<ChartState> open { start };
    while (!open.empty()) {
        const ChartState from = open.back();
        open.pop_back();
        for (const auto& [key, to] : m_transitions) {
            if (key.first == from && reached.insert(to).second)
                open.push_back(to);
        }
    }
    return reached;
}

/** @param name Name of a state. @return Its index, absent if the chart has no such state. */
std::optional<ChartState> StateChart::state(std::string_view name) const { return indexOf(m_states, name); }

/** @param name Name of an event. @return Its index, absent if the chart has no such event. */
std::optional<ChartEvent> StateChart::event(std::string_view name) const { return indexOf(m_events, name); }

/** @param from State. @param event Event. @return State after the event, absent if @p from ignores it. */
std::optional<ChartState> StateChart::next(ChartState from, ChartEvent event) const
{
    const auto it = m_transitions.find({ from, event });
    return it == m_transitions.end() ? std::nullopt : std::optional(it->second);
}

/** @return The chart as a Mermaid state diagram; events of equal ends share an arrow. */
std::string StateChart::mermaid() const
{
    std::map<std::pair<ChartState, ChartState>, std::string> arrows;
    for (const auto& [key, to] : m_transitions) {
        std::string& label = arrows[{ key.first, to }];
        label += (label.empty() ? "" : ", ") + m_events[key.second];
    }
    std::string text = "stateDiagram-v2\n    [*] --> " + m_states[m_initial] + "\n";
    for (const auto& [ends, label] : arrows)
        text += "    " + m_states[ends.first] + " --> " + m_states[ends.second] + " : " + label + "\n";
    for (const ChartState state : m_final)
        text += "    " + m_states[state] + " --> [*]\n";
    return text;
}

} // namespace sp
