#include "daemon/peer_link.h"

#include "daemon/scope_exit.h"
#include "daemon/task.h"
#include "peer.grpc.pb.h"
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <list>
#include <unordered_map>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t maxChannels = 48;
    constexpr int maxMessageBytes = 8 * 1'048'576;
    constexpr int maxGrpcThreads = 4;

    grpc::ChannelArguments channelArguments()
    {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        arguments.SetCompressionAlgorithm(GRPC_COMPRESS_GZIP);
        // Peers are on loopback or data-centre addresses: always connect directly, never through a proxy.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1'000);
        return arguments;
    }

    // Finishes the call in any case: otherwise the peer waits until its deadline, and this process never stops.
    template <class Request, class Reply>
    awaitable<void> answerCall(process_context& process, peer_handler& handler, awaitable<Reply> (peer_handler::*method)(Request), grpc::ServerUnaryReactor* reactor, const Request* request, Reply* reply)
    {
        grpc::Status status(grpc::StatusCode::INTERNAL, "the call could not be handled");
        const scope_exit finished(process, [&status, reactor] { reactor->Finish(status); });
        *reply = co_await (handler.*method)(*request);
        status = grpc::Status::OK;
    }

    // Runs `method` of the handler on the Asio thread and finishes the call there.
    template <class Request, class Reply>
    grpc::ServerUnaryReactor* serveOn(process_context& process, grpc::CallbackServerContext* context, const Request* request, Reply* reply,
        peer_handler& handler, awaitable<Reply> (peer_handler::*method)(Request))
    {
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        context->set_compression_algorithm(GRPC_COMPRESS_GZIP);
        startTask(process, "peer_call", answerCall<Request, Reply>(process, handler, method, reactor, request, reply));
        return reactor;
    }

    class peer_service : public wire::Peer::CallbackService {
    public:
        peer_service(process_context& process, peer_handler& handler)
            : m_process(process)
            , m_handler(handler)
        {
        }

        grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context, const wire::ExchangeRequest* request, wire::ExchangeReply* reply) override
        {
            return serveOn(m_process, context, request, reply, m_handler, &peer_handler::onExchange);
        }

        grpc::ServerUnaryReactor* Handover(grpc::CallbackServerContext* context, const wire::HandoverRequest* request, wire::HandoverReply* reply) override
        {
            return serveOn(m_process, context, request, reply, m_handler, &peer_handler::onHandover);
        }

        grpc::ServerUnaryReactor* Deposit(grpc::CallbackServerContext* context, const wire::DepositRequest* request, wire::DepositReply* reply) override
        {
            return serveOn(m_process, context, request, reply, m_handler, &peer_handler::onDeposit);
        }

        grpc::ServerUnaryReactor* Group(grpc::CallbackServerContext* context, const wire::GroupMessage* request, wire::GroupMessage* reply) override
        {
            return serveOn(m_process, context, request, reply, m_handler, &peer_handler::onGroup);
        }

    private:
        process_context& m_process;
        peer_handler& m_handler;
    };

    // State of one outgoing call; kept alive until gRPC has called back.
    template <class Request, class Reply>
    struct pending_call {
        grpc::ClientContext context;
        Request request;
        Reply reply;
    };

} // namespace

awaitable<wire::HandoverReply> peer_handler::onHandover(wire::HandoverRequest)
{
    co_return wire::HandoverReply();
}

awaitable<wire::DepositReply> peer_handler::onDeposit(wire::DepositRequest)
{
    co_return wire::DepositReply();
}

awaitable<wire::GroupMessage> peer_handler::onGroup(wire::GroupMessage)
{
    co_return wire::GroupMessage();
}

struct peer_server::implementation {
    implementation(process_context& process, peer_handler& handler)
        : service(process, handler)
    {
    }

    peer_service service;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

peer_server::peer_server(std::unique_ptr<implementation> created)
    : m_implementation(std::move(created))
{
}

peer_server::~peer_server()
{
    stop();
}

result<std::unique_ptr<peer_server>> peer_server::listen(process_context& context, const std::string& address, peer_handler& handler)
{
    auto created = std::make_unique<implementation>(context, handler);
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("rampgap");
    quota.SetMaxThreads(maxGrpcThreads);
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &created->port);
    builder.RegisterService(&created->service);
    created->server = builder.BuildAndStart();
    if (!created->server || created->port == 0)
        return notRun(failure_reason::not_ready, "cannot listen on " + address);
    return std::unique_ptr<peer_server>(new peer_server(std::move(created)));
}

int peer_server::port() const
{
    return m_implementation->port;
}

void peer_server::stop()
{
    if (m_implementation->server)
        m_implementation->server->Shutdown(std::chrono::system_clock::now());
}

struct peer_client::implementation {
    explicit implementation(process_context& shared)
        : context(shared)
    {
    }

    struct channel {
        std::string address;
        std::shared_ptr<wire::Peer::Stub> stub;
    };

    // Returns the stub for an address; closes the least recently used channel if there are too many.
    std::shared_ptr<wire::Peer::Stub> stub(const std::string& address)
    {
        const auto found = byAddress.find(address);
        if (found != byAddress.end()) {
            channels.splice(channels.begin(), channels, found->second);
            return channels.front().stub;
        }
        auto created = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments());
        channels.push_front({ address, std::shared_ptr<wire::Peer::Stub>(wire::Peer::NewStub(created)) });
        byAddress[address] = channels.begin();
        if (channels.size() > maxChannels) {
            byAddress.erase(channels.back().address);
            channels.pop_back();
        }
        return channels.front().stub;
    }

    template <class Request, class Reply, class Start>
    awaitable<result<Reply>> call(std::string address, Request request, milliseconds timeout, Start start)
    {
        if (context.isCut(address))
            co_return notRun(failure_reason::connection_lost, "cut off from " + address);
        auto pending = std::make_shared<pending_call<Request, Reply>>();
        pending->request = std::move(request);
        pending->context.set_deadline(std::chrono::system_clock::now() + timeout);
        const auto target = stub(address);
        auto* async = target->async();
        const grpc::Status status = co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(grpc::Status)>(
            [&](auto handler) {
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                auto work = std::make_shared<asio::executor_work_guard<asio::io_context::executor_type>>(context.io().get_executor());
                asio::io_context& io = context.io();
                start(async, &pending->context, &pending->request, &pending->reply, [shared, work, pending, target, &io](grpc::Status callStatus) {
                    asio::post(io, [shared, work, callStatus]() mutable { (*shared)(callStatus); });
                });
            },
            asio::use_awaitable);
        if (context.isCut(address))
            co_return mayHaveRun(failure_reason::connection_lost, "cut off from " + address);
        if (!status.ok()) {
            failure failed = notRun(failure_reason::connection_lost, address + ": " + status.error_message());
            if (status.error_code() != grpc::StatusCode::UNAVAILABLE)
                failed.ran = verdict::may_have_run;
            co_return failed;
        }
        co_return std::move(pending->reply);
    }

    process_context& context;
    std::list<channel> channels;
    std::unordered_map<std::string, std::list<channel>::iterator> byAddress;
};

peer_client::peer_client(process_context& context)
    : m_implementation(std::make_unique<implementation>(context))
{
}

peer_client::~peer_client() = default;

awaitable<result<wire::ExchangeReply>> peer_client::exchange(std::string address, wire::ExchangeRequest request, milliseconds timeout)
{
    return m_implementation->call<wire::ExchangeRequest, wire::ExchangeReply>(std::move(address), std::move(request), timeout,
        [](auto* async, auto* context, auto* message, auto* reply, auto done) { async->Exchange(context, message, reply, std::move(done)); });
}

awaitable<result<wire::HandoverReply>> peer_client::handover(std::string address, wire::HandoverRequest request, milliseconds timeout)
{
    return m_implementation->call<wire::HandoverRequest, wire::HandoverReply>(std::move(address), std::move(request), timeout,
        [](auto* async, auto* context, auto* message, auto* reply, auto done) { async->Handover(context, message, reply, std::move(done)); });
}

awaitable<result<wire::DepositReply>> peer_client::deposit(std::string address, wire::DepositRequest request, milliseconds timeout)
{
    return m_implementation->call<wire::DepositRequest, wire::DepositReply>(std::move(address), std::move(request), timeout,
        [](auto* async, auto* context, auto* message, auto* reply, auto done) { async->Deposit(context, message, reply, std::move(done)); });
}

awaitable<result<wire::GroupMessage>> peer_client::group(std::string address, wire::GroupMessage request, milliseconds timeout)
{
    return m_implementation->call<wire::GroupMessage, wire::GroupMessage>(std::move(address), std::move(request), timeout,
        [](auto* async, auto* context, auto* message, auto* reply, auto done) { async->Group(context, message, reply, std::move(done)); });
}

} // namespace rampgap
