/** @file id_type.h A distinct type for each kind of id, so that ids of different kinds can't be mixed up. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sp {

/** Textual id; @p Tag only makes the type distinct. */
template <typename Tag> struct TextId {
    std::string value; ///< Text of the id, empty if unset.

    TextId() = default;
    explicit TextId(std::string text)
        : value(std::move(text))
    {
    }
    bool empty() const { return value.empty(); }
    auto operator<=>(const TextId&) const = default;
    friend std::ostream& operator<<(std::ostream& out, const TextId& id) { return out << id.value; }
};

/** Numeric id; @p Tag only makes the type distinct. */
template <typename Tag> struct NumberId {
    std::uint64_t value = 0; ///< Number of the id, 0 if unset.

    NumberId() = default;
    explicit constexpr NumberId(std::uint64_t number)
        : value(number)
    {
    }
    auto operator<=>(const NumberId&) const = default;
    friend std::ostream& operator<<(std::ostream& out, const NumberId& id) { return out << id.value; }
};

using HostId = TextId<struct HostTag>; ///< An entry host.
using DataCentreId = TextId<struct DataCentreTag>;
using RackId = TextId<struct RackTag>;
using TargetId = TextId<struct TargetTag>; ///< A worker or a service instance.
using ShardId = TextId<struct ShardTag>; ///< `<dc>.slots.<k>` or `<dc>.workers.<k>`.
using CallerId = TextId<struct CallerTag>;
using TeamId = TextId<struct TeamTag>;
using WorkloadId = TextId<struct WorkloadTag>;
using RequestId = TextId<struct RequestTag>; ///< Made by the gateway, unique in the cell.
using JobId = TextId<struct JobTag>; ///< `<shard>-<hex>`.
using TaskId = TextId<struct TaskTag>; ///< `<job>/<index>`.
using IdempotencyKey = TextId<struct IdempotencyKeyTag>;

using Incarnation = NumberId<struct IncarnationTag>; ///< Distinguishes two runs of a process on one host.
using Term = NumberId<struct TermTag>; ///< Fencing token of a shard's ownership; only grows.
using BundleVersion = NumberId<struct BundleVersionTag>;
using CallId = NumberId<struct CallTag>; ///< One call to a target.
using StoreTicket = NumberId<struct StoreTicketTag>; ///< One call to the store.
using StoreLeaseId = NumberId<struct StoreLeaseTag>;
using Revision = NumberId<struct RevisionTag>; ///< Revision of the store.

} // namespace sp

template <typename Tag> struct std::hash<sp::TextId<Tag>> {
    std::size_t operator()(const sp::TextId<Tag>& id) const noexcept { return std::hash<std::string>()(id.value); }
};

template <typename Tag> struct std::hash<sp::NumberId<Tag>> {
    std::size_t operator()(const sp::NumberId<Tag>& id) const noexcept { return std::hash<std::uint64_t>()(id.value); }
};
