// Which hosts with a disk vote: a table of the voters and candidates there are, and what
// becomes of them.
#include <gtest/gtest.h>

#include <string>

#include "voters.h"

namespace
{

// One letter for each voter in the order in which they joined: 'v' works, 'L' leads, 'x'
// is lost. Returns which are kept, as 'k', or removed, as 'r', then '+' if a candidate joins.
std::string decide(const std::string &voters, size_t candidates, bool settled)
{
	voter_t rows[9];
	voters_t v = {};
	std::string out;

	v.rows = rows;
	v.n = voters.size();
	v.n_candidates = candidates;
	v.min = 3;
	v.settled = settled;
	for (size_t i = 0; i < v.n; i++) {
		rows[i] = {(host_id_t)(i + 1), voters[i] == 'x'};
		if (voters[i] == 'L')
			v.leader = (host_id_t)(i + 1);
	}
	for (size_t i = 0; i < v.n; i++)
		out += voters_keep(&v, (host_id_t)(i + 1)) ? 'k' : 'r';
	return out + (candidates && voters_admit(&v) ? "+" : "");
}

TEST(Voters, TooFewGrowToTheFewestWanted)
{
	EXPECT_EQ("k+", decide("L", 1, true));
	EXPECT_EQ("kk+", decide("Lv", 1, true));
	EXPECT_EQ("kk", decide("Lx", 0, true));
}

TEST(Voters, ALostOneIsKeptUntilItsSuccessorHasJoined)
{
	EXPECT_EQ("kkk", decide("Lvx", 0, true));
	EXPECT_EQ("kkk+", decide("Lvx", 1, true));
	EXPECT_EQ("kkrk", decide("Lvxv", 0, true));
	EXPECT_EQ("kkrrk", decide("Lvxxv", 0, true));
}

TEST(Voters, TheNumberStaysOdd)
{
	EXPECT_EQ("kkk", decide("Lvv", 1, true));
	EXPECT_EQ("kkk+", decide("Lvv", 2, true));
	EXPECT_EQ("kkkk+", decide("Lvvv", 1, true));
	EXPECT_EQ("kkkkk", decide("Lvvvv", 3, true));
}

TEST(Voters, OneTooManyIsRemovedOnceTheOthersStoodForLong)
{
	EXPECT_EQ("kkkk", decide("Lvvv", 0, false));
	EXPECT_EQ("krkk", decide("Lvvv", 0, true));
	EXPECT_EQ("rkkk", decide("vvvL", 0, true));
}

} // namespace
