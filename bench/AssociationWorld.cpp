#include "AssociationWorld.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel::bench {

namespace {

/** Slowdown that one batch task of each kind adds to a quote on a worker whose
 * slots are all in use. */
constexpr std::array<double, 4> kInterference = { 0.02, 0.1, 0.3, 0.8 };

} // namespace

Duration
DrawExponential(Random& aRandom, Duration aMean)
{
  return Scaled(aMean, -std::log(1 - DrawUnit(aRandom)));
}

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

Worker::Worker(EventLoop& aLoop, Random& aRandom, std::uint32_t aIndex)
  : loop(aLoop)
  , random(aRandom)
  , zone(aIndex / kWorkersPerRack % kZones)
{
  for (std::uint32_t& kind : this->batch) {
    kind =
      static_cast<std::uint32_t>(DrawIndex(this->random, kInterference.size()));
  }
}

void
Worker::Receive(Duration aWork, std::function<bool()> aWanted, Respond aRespond)
{
  if (this->silent) {
    return;
  }
  if (this->failing) {
    aRespond(Reply::Failed);
    return;
  }
  if (this->busy >= kSlots && this->waiting.size() >= this->refuseAbove) {
    aRespond(Reply::Busy);
    return;
  }
  this->waiting.push_back({ aWork, std::move(aWanted), std::move(aRespond) });
  this->StartNext();
}

void
Worker::ReplaceBatchTask()
{
  const std::size_t place = DrawIndex(this->random, this->batch.size());
  this->batch[place] =
    static_cast<std::uint32_t>(DrawIndex(this->random, kInterference.size()));
}

void
Worker::FillWithHeavyBatch()
{
  this->batch.fill(kInterference.size() - 1);
}

void
Worker::SetUnresponsive(bool aSilent)
{
  this->silent = aSilent;
  ++this->incarnation;
  this->busy = 0;
  this->waiting.clear();
}

double
Worker::Slowdown() const
{
  // Interference by batch tasks grows with the share of slots in use.
  const double share = static_cast<double>(this->busy) / kSlots;
  double slowdown = 1;
  for (const std::uint32_t kind : this->batch) {
    slowdown += kInterference[kind] * (0.5 + 0.5 * share);
  }
  return slowdown * this->noise;
}

void
Worker::StartNext()
{
  while (this->busy < kSlots && !this->waiting.empty()) {
    Request request = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (!request.wanted()) {
      continue;
    }
    ++this->busy;
    const Duration time = Scaled(request.work, this->Slowdown());
    this->loop.After(time,
                     [this,
                      respond = std::move(request.respond),
                      started = this->incarnation]() {
                       if (started != this->incarnation) {
                         return;
                       }
                       --this->busy;
                       respond(Reply::Done);
                       this->StartNext();
                     });
  }
}

} // namespace sequoiakeel::bench
