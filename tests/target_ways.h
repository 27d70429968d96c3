// The two ways to a target: a connection of this host's own, and a tunnel through
// another daemon.
#ifndef TESTS_TARGET_WAYS_H
#define TESTS_TARGET_WAYS_H

#include "gateway_world.h"

// A gateway whose requests all take one way to their targets.
class Way
{
      public:
	Way(bool by_peer, std::vector<Target *> order) : by_peer(by_peer)
	{
		targets = {&lost_a, &lost_b, &lost_a, &lost_b};
		if (!by_peer)
			targets.clear();
		targets.insert(targets.end(), order.begin(), order.end());
		fixture = std::make_unique<GatewayFixture>(targets);
		if (by_peer)
			fixture->lose_own_path();
	}

	std::string ask(const std::string &path, const std::string &fields = "")
	{
		std::string got = fixture->ask(path, fields, "", "r1");

		reset = fixture->reset;
		return got;
	}

	const bool by_peer;
	std::unique_ptr<GatewayFixture> fixture;
	bool reset = false; // the last ask() ended by a TCP reset

      private:
	Target lost_a{std::deque<Action>(4, ok_response())};
	Target lost_b{std::deque<Action>(4, ok_response())};
	std::vector<Target *> targets;
};

inline std::string name_of(bool by_peer)
{
	return by_peer ? "by a tunnel" : "on its own connection";
}

inline const char *const EVENT_1 = "id: 1\ndata: a\n\n";
inline const char *const EVENT_2 = "id: 2\ndata: b\n\n";

// The first n of these bytes, then the end of the connection.
inline Action cut(const std::string &bytes, size_t n, bool by_reset)
{
	Action a = {bytes.substr(0, n)};

	a.close = !by_reset;
	a.reset_connection = by_reset;
	return a;
}

#endif
