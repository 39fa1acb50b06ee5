/** @file interference_profile.h Learns which images slow each other down on one target. */
#pragma once

#include "time_type.h"

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sp {

constexpr std::size_t maxTrackedImages = 64; ///< Number 0 stands for images that are not tracked.
using ImageSet = std::bitset<maxTrackedImages>;

/** The part of a run's time, from 0 to 1, during which another run of each image was on its target. */
using ImageExposure = std::array<double, maxTrackedImages>;

/** A run on a target, as seen by those beside it. */
struct NeighbourRun {
    std::uint32_t image = 0;
    Time since {};
    Time until {};
};

/** Runs that have ended on one target recently; they were beside runs that end later. */
class NeighbourHistory {
public:
    void add(const NeighbourRun& run);
    void addExposure(ImageExposure& exposure, Time since, Time until) const;

private:
    /** Covers most of what ends on a target during a quick run. */
    std::array<NeighbourRun, 8> m_runs {};
    std::size_t m_next = 0;
};

void addExposure(ImageExposure& exposure, const NeighbourRun& neighbour, Time since, Time until);

/** A run that has ended, and how its time differs from the expected one. */
struct ExposedRun {
    std::uint32_t image = 0;
    ImageExposure beside {};
    double residual = 0; ///< Logarithm of the run time relative to the expected one.
    double load = 0; ///< Reserved share of the target's cores at its end.
    std::uint32_t target = 0; ///< CellTarget::serial.
};

/**
 * Compares runs of an image beside another image with its runs without that image at about the same load. A pair of a
 * slowed image and one beside it counts once there is enough evidence of an effect, and until the effect no longer
 * shows or was not seen for some time. Kept in memory only.
 */
class InterferenceProfile {
public:
    std::uint32_t imageNumber(const std::string& name, Time now);
    void record(const ExposedRun& run, Time now);
    void forgetUnseen(Time now);
    ImageSet conflicts(std::uint32_t image) const { return m_conflicts[image]; }
    double knownEffect(std::uint32_t image, const ImageExposure& beside) const;
    std::size_t pairCount() const { return m_countingPairs; }

private:
    static constexpr std::size_t loadClasses = 4;

    struct Average {
        double mean = 0;
        double samples = 0;
    };
    struct Pair {
        Average effect; ///< Residuals of runs beside the image, relative to those without it at the same load.
        double variance = 0;
        std::array<Average, loadClasses> without; ///< Residuals of runs without the image, by load.
        ImageSet targets; ///< Targets on which the runs beside it ran, by the remainder of their numbers.
        bool counts = false;
        Time seenAt {}; ///< Time of the last run beside the image.
    };
    struct Image {
        std::string name;
        Time seenAt {};
    };

    bool showsEffect(const Pair& pair) const;
    void setCounts(std::uint32_t slowed, std::uint32_t beside, bool counts);
    void releaseImage(std::uint32_t number);

    std::map<std::string, std::uint32_t> m_numbers;
    std::array<Image, maxTrackedImages> m_images {};
    /** By slowed image and image beside it; empty for an image whose runs were not recorded yet. */
    std::array<std::vector<Pair>, maxTrackedImages> m_pairs;
    std::array<ImageSet, maxTrackedImages> m_conflicts {}; ///< In either direction.
    std::size_t m_countingPairs = 0;
};

} // namespace sp
