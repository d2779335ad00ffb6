/** @file keeper_core.cpp State shared by the parts of a keeper. */
#include "keeper_core.h"

std::unique_ptr<glade::wire::ProposalT> MakeJoinProposal(const KeeperIdentity &self)
{
	glade::wire::MemberJoinT join;
	join.member = self.name.Value();
	join.incarnation = self.incarnation.Value();
	join.role = static_cast<uint8_t>(MemberRole::MR_KEEPER);
	join.region = self.region.Value();
	join.zone = self.zone.Value();
	join.address = self.address;
	join.rules = RULE_VERSION_NEWEST;
	return MakeProposal(std::move(join));
}
