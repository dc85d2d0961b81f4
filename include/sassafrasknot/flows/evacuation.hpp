#ifndef SASSAFRASKNOT_FLOWS_EVACUATION_HPP
#define SASSAFRASKNOT_FLOWS_EVACUATION_HPP

#include "sassafrasknot/flows/directory_builder.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <random>
#include <span>
#include <vector>

namespace sassafrasknot::flows {

/// @brief An order to place no flow on the upstreams of a data centre.
struct Evacuation
{
  state::DataCentreId mDataCentre;
  /// Revision of the store at which it was ordered.
  state::Revision mRevision = 0;

  auto operator<=>(const Evacuation&) const = default;
};

/// @brief Begins an evacuation, or records a later order for the same data
/// centre.
/// @param aBuilder the builder
/// @param aEvacuation the order as published; an older one has no effect
/// @return whether the order is new
bool
BeginEvacuation(DirectoryBuilder& aBuilder, const Evacuation& aEvacuation);

/// @brief Ends an evacuation.
/// @param aBuilder the builder
/// @param aDataCentre the data centre
/// @return whether it was evacuated
bool
EndEvacuation(DirectoryBuilder& aBuilder,
              const state::DataCentreId& aDataCentre);

/// @brief Returns the number of upstreams of a data centre.
/// @param aBuilder the builder
/// @param aDataCentre the data centre
/// @return number of listed and expired upstreams
std::size_t
CountUpstreams(const DirectoryBuilder& aBuilder,
               const state::DataCentreId& aDataCentre);

/// @brief Marks the upstreams of evacuated data centres, and unmarks all
/// others.
/// @param aTable the table
/// @param aEvacuations the evacuated data centres
/// @return whether any mark has changed, so that BuildPools has to be called
bool
ApplyEvacuations(UpstreamTable& aTable, const Evacuations& aEvacuations);

/// @brief Adds a data centre to the evacuated ones of a service, once.
/// @param aPool the service's upstreams
/// @param aDataCentre an evacuated data centre that has some of them
void
AddEvacuated(ServicePool& aPool, const state::DataCentreId& aDataCentre);

/// @brief Chooses a data centre at random, with a probability that is
/// proportional to the spare capacity of its candidates, and removes the
/// candidates of all others. If each instance took the data centre of the
/// lowest utilisation instead, all instances of an evacuated data centre would
/// send their flows to the same one until its next report.
/// @param aCandidates upstreams that were drawn at random, not empty; one may
/// occur several times
/// @param aRandom source of random numbers
void
KeepOneDataCentre(std::vector<UpstreamRecord*>& aCandidates,
                  std::minstd_rand& aRandom);

} // namespace sassafrasknot::flows

#endif
