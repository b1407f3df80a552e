#include "randomrun/simstore.h"

#include "state/invariant.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot::Sim {

namespace {

constexpr double replyLossProbability = 0.3;
constexpr absl::Duration callTimeout = absl::Seconds(1);
constexpr absl::Duration maxLateEffectDelay = absl::Seconds(3);

}

void SimStore::readPage(const std::string &name, std::function<void(std::optional<RunPage>)> done)
{
    read([this, name, done = std::move(done)](bool answered) { done(answered ? std::optional<RunPage>(m_pages[name]) : std::nullopt); });
}

void SimStore::writePage(const std::string &name, RunPage page, WriteDone done)
{
    write(
        [this, name, page = std::move(page)]() -> std::optional<std::uint64_t> {
            RunPage &stored = m_pages[name];
            if (stored->version != page->version) {
                return std::nullopt;
            }
            stored = page.with(&RunPageFields::version, ++m_version);
            return m_version;
        },
        std::move(done));
}

void SimStore::readLease(std::function<void(std::optional<Lease>)> done)
{
    read([this, done = std::move(done)](bool answered) { done(answered ? std::optional<Lease>(m_lease) : std::nullopt); });
}

void SimStore::writeLease(Lease lease, WriteDone done)
{
    write(
        [this, lease = std::move(lease)]() -> std::optional<std::uint64_t> {
            if (m_lease->version != lease->version) {
                return std::nullopt;
            }
            m_lease = lease.with(&LeaseFields::version, ++m_version);
            return m_version;
        },
        std::move(done));
}

void SimStore::readPointer(std::function<void(std::optional<Generation>, std::uint64_t)> done)
{
    read([this, done = std::move(done)](bool answered) {
        done(answered ? std::optional<Generation>(m_pointer) : std::nullopt, m_pointerVersion);
    });
}

void SimStore::writePointer(Generation generation, std::uint64_t ifVersion, WriteDone done)
{
    write(
        [this, generation = std::move(generation), ifVersion]() -> std::optional<std::uint64_t> {
            if (m_pointerVersion != ifVersion) {
                return std::nullopt;
            }
            APRICOT_INVARIANT(generation->number > m_pointer->number, "published-generation-only-rises",
                              absl::StrCat(m_pointer->number, " to ", generation->number));
            m_pointer = generation;
            m_pointerVersion = ++m_version;
            return m_version;
        },
        std::move(done));
}

void SimStore::read(std::function<void(bool)> done)
{
    m_clock.after(latency(), [this, done = std::move(done)] {
        const bool answered = !m_outage;
        m_clock.after(latency(), [done, answered] { done(answered); });
    });
}

void SimStore::write(std::function<std::optional<std::uint64_t>()> apply, WriteDone done)
{
    const bool late = m_losesReplies && m_clock.chance(replyLossProbability / 2);
    const absl::Duration delay = late ? m_clock.drawDuration(callTimeout, maxLateEffectDelay) : latency();
    if (late) {
        m_clock.after(callTimeout, [done] { done(WriteOutcome::Lost, 0); });
    }
    m_clock.after(delay, [this, late, apply = std::move(apply), done = std::move(done)] {
        if (m_outage) {
            if (!late) {
                done(WriteOutcome::NotDone, 0);
            }
            return;
        }
        const std::optional<std::uint64_t> version = apply();
        if (late) {
            return;
        }
        if (m_losesReplies && m_clock.chance(replyLossProbability)) {
            m_clock.after(callTimeout, [done] { done(WriteOutcome::Lost, 0); });
            return;
        }
        m_clock.after(latency(), [done, version] { done(version ? WriteOutcome::Written : WriteOutcome::Conflict, version.value_or(0)); });
    });
}

absl::Duration SimStore::latency()
{
    return m_slow ? m_clock.drawDuration(absl::Milliseconds(200), absl::Milliseconds(900))
                  : m_clock.drawDuration(absl::Milliseconds(1), absl::Milliseconds(5));
}

}
