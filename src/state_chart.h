/** @file state_chart.h Interpreter of the state charts in charts/. */
#pragma once

#include "error_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sp {

using ChartState = std::uint32_t; ///< Index of a state within its chart.
using ChartEvent = std::uint32_t; ///< Index of an event within its chart.

/**
 * A state chart read from text, one statement a line:
 *
 *     chart NAME
 *     initial STATE
 *     final STATE...
 *     FROM -> TO on EVENT
 *     STATE ignores EVENT...
 *
 * `#` starts a comment. A state exists if a transition leads from or to it, an event if a transition names it.
 */
class StateChart {
public:
    static leaf::result<StateChart> parse(std::string_view text, std::string_view file);
    const std::string& name() const { return m_name; }
    const std::vector<std::string>& states() const { return m_states; }
    const std::vector<std::string>& events() const { return m_events; }
    ChartState initial() const { return m_initial; }
    bool isFinal(ChartState state) const { return m_final.contains(state); }
    std::optional<ChartState> state(std::string_view name) const;
    std::optional<ChartEvent> event(std::string_view name) const;
    std::optional<ChartState> next(ChartState from, ChartEvent event) const;
    std::string mermaid() const;

private:
    struct Line {
        std::string file;
        int number = 0;
        std::vector<std::string> words;
    };
    struct Names {
        std::vector<Line> initial;
        std::vector<Line> finals;
        std::vector<Line> ignores;
    };
    leaf::result<void> addLine(const Line& line, Names& names);
    leaf::result<void> addTransition(const Line& line);
    leaf::result<void> resolve(const Names& names);
    leaf::result<void> checkComplete(std::string_view file) const;
    leaf::result<void> checkPaths(std::string_view file) const;
    std::set<ChartState> reachableFrom(ChartState start) const;

    std::string m_name;
    std::vector<std::string> m_states;
    std::vector<std::string> m_events;
    ChartState m_initial = 0;
    std::set<ChartState> m_final;
    std::map<std::pair<ChartState, ChartEvent>, ChartState> m_transitions;
    std::set<std::pair<ChartState, ChartEvent>> m_ignored;
};

} // namespace sp
