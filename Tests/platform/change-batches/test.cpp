// Guards against one billed call to the store for each change: when all servers of a fleet register within seconds, or
// configurations come in quick succession, a watch ends with each of them.
#include "gateway/fleet/store_follower.h"
#include "platform/item_decoder.h"

#include <doctest/doctest.h>
#include <unistd.h>

using namespace rampgap;

namespace {

// A store whose items change all the time.
class busy_store : public published_source {
public:
    awaitable<result<published_snapshot>> readAll() override
    {
        ++calls;
        co_return published_snapshot { {}, revision, 1 };
    }

    awaitable<result<published_update>> watch(store_revision, milliseconds) override
    {
        ++calls;
        published_update update;
        update.epoch = 1;
        update.revision = ++revision;
        update.changes.push_back({ { "other/key", std::to_string(revision), revision, 1 }, false });
        co_return update;
    }

    int calls = 0;
    store_revision revision = 1;
};

} // namespace

TEST_CASE("changes that follow each other quickly are read together")
{
    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    const platform::item_decoder decoder;
    fleet_state state { context, log, decoder, milliseconds(0) };
    busy_store store;
    store_follower follower(context, log, store, state, milliseconds(800));
    follower.start();
    context.io().run_for(milliseconds(1'000));
    CHECK(store.calls >= 3);
    CHECK(store.calls <= 6);
    CHECK(state.published().position().revision == store.revision);
}
