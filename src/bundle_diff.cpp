#include "bundle_diff.h"
#include "ini_text.h"
#include "table/bundle_keys.h"

#include <cmath>
#include <set>

namespace sp {

namespace {

    /** Sections that hold the same keys once per name. */
    bool isNamed(std::string_view kind) { return kind == "workload" || kind == "team"; }

    std::string valueText(const Ini& ini, const std::string& kind, const std::string& name, const std::string& key)
    {
        if (kind == "cell" && key == "key_data_centres" && !ini.isGiven(kind, name, key))
            return ini.text("cell", "", "data_centres");
        return ini.text(kind, name, key);
    }

    std::string joined(const std::vector<std::string>& items)
    {
        std::string text;
        for (const std::string& item : items)
            text += (text.empty() ? "" : ", ") + item;
        return text;
    }

    std::string numberText(double number)
    {
        char text[40];
        std::snprintf(text, sizeof text, "%.12g", number);
        return text;
    }

    /** Value in one form whatever way it is written: `1000ms` and `1s` are the same. */
    std::string normalValue(const Ini& ini, const KeyInfo& info, const std::string& name)
    {
        const std::string kind(info.section);
        const std::string key(info.key);
        switch (info.type) {
        case KeyType::Integer:
            return numberText(static_cast<double>(ini.integer(kind, name, key)));
        case KeyType::Real:
            return numberText(ini.real(kind, name, key));
        case KeyType::Span:
            return std::to_string(ini.span(kind, name, key).count()) + " ms";
        case KeyType::List:
            return kind == "cell" && key == "key_data_centres" && !ini.isGiven(kind, name, key)
                ? joined(ini.list("cell", "", "data_centres"))
                : joined(ini.list(kind, name, key));
        default:
            return valueText(ini, kind, name, key);
        }
    }

    /** Value for people: as written, with its unit if the writing has none. */
    std::string shownValue(const Ini& ini, const KeyInfo& info, const std::string& name)
    {
        const std::string value = valueText(ini, std::string(info.section), name, std::string(info.key));
        if (value.empty())
            return "none";
        const bool hasUnit = info.unit.empty() || info.type == KeyType::Span;
        return hasUnit ? value : value + " " + std::string(info.unit);
    }

    /** Only the relation of the weights matters, so they are compared as shares of their sum. */
    bool sameWeights(const Ini& before, const Ini& after)
    {
        const auto shares = [](const Ini& ini) {
            std::vector<double> weights;
            double sum = 0;
            for (const char* key : { "wait", "packing", "spread" })
                sum += weights.emplace_back(ini.real("weights", "", key));
            for (double& weight : weights)
                weight = sum > 0 ? weight / sum : 0;
            return weights;
        };
        const auto left = shares(before);
        const auto right = shares(after);
        for (std::size_t i = 0; i < left.size(); ++i) {
            if (std::abs(left[i] - right[i]) > 1e-9)
                return false;
        }
        return true;
    }

    void diffSection(const Ini& before, const Ini& after, const std::string& kind, const std::string& name,
        std::vector<BundleChange>& changes)
    {
        const std::string title = name.empty() ? kind : kind + " " + name;
        for (const KeyInfo& info : bundleKeys) {
            if (info.section != kind || normalValue(before, info, name) == normalValue(after, info, name))
                continue;
            changes.push_back({ BundleChange::Kind::Value, title, std::string(info.key), shownValue(before, info, name),
                shownValue(after, info, name), std::string(info.text) });
        }
    }

    /** Settings of a section that differ from the defaults, on one line. */
    std::string sectionText(const Ini& ini, const std::string& kind, const std::string& name)
    {
        const Ini defaults = Ini::parse("", bundleKeys);
        std::string text;
        for (const KeyInfo& info : bundleKeys) {
            if (info.section == kind && normalValue(ini, info, name) != normalValue(defaults, info, name))
                text += (text.empty() ? "" : ", ") + std::string(info.key) + " = " + shownValue(ini, info, name);
        }
        return text;
    }

    void diffNamed(const Ini& before, const Ini& after, const std::string& kind, std::vector<BundleChange>& changes)
    {
        std::set<std::string> names;
        for (const Ini* ini : { &before, &after }) {
            for (const std::string& name : ini->sectionNames(kind))
                names.insert(name);
        }
        for (const std::string& name : names) {
            const bool was = before.hasSection(kind, name);
            const bool is = after.hasSection(kind, name);
            std::string title = kind;
            title.append(" ").append(name);
            if (was && is)
                diffSection(before, after, kind, name, changes);
            else if (is)
                changes.push_back(
                    { BundleChange::Kind::SectionAdded, title, {}, {}, sectionText(after, kind, name), {} });
            else
                changes.push_back(
                    { BundleChange::Kind::SectionRemoved, title, {}, sectionText(before, kind, name), {}, {} });
        }
    }

} // namespace

/**
 * Compares two bundles by their effect. Version, author and note have none, nor has a default that is written out.
 * @param before Text of the earlier bundle, empty for none. @param after Text of the later one.
 * @return Changes in the order of the key table.
 */
std::vector<BundleChange> diffBundles(const std::string& before, const std::string& after)
{
    const Ini left = Ini::parse(before, bundleKeys);
    const Ini right = Ini::parse(after, bundleKeys);
    std::vector<BundleChange> changes;
    std::set<std::string> done { "bundle" };
    if (sameWeights(left, right))
        done.insert("weights");
    for (const KeyInfo& info : bundleKeys) {
        const std::string kind(info.section);
        if (!done.insert(kind).second)
            continue;
        if (isNamed(kind))
            diffNamed(left, right, kind, changes);
        else
            diffSection(left, right, kind, "", changes);
    }
    return changes;
}

/** @param change Change. @return One line for people. */
std::string changeText(const BundleChange& change)
{
    switch (change.kind) {
    case BundleChange::Kind::SectionAdded:
        return "+ [" + change.section + "] " + change.after;
    case BundleChange::Kind::SectionRemoved:
        return "- [" + change.section + "] " + change.before;
    case BundleChange::Kind::Value:
        break;
    }
    return "~ [" + change.section + "] " + change.key + ": " + change.before + " -> " + change.after + " ("
        + change.meaning + ")";
}

} // namespace sp
