#include "gateway/fleet/snapshot_codec.h"

#include "gateway.pb.h"
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <zlib.h>

namespace rampgap {

namespace io = google::protobuf::io;

namespace {

    // The fastest level, since the machines have a quarter of a core.
    constexpr int compressionLevel = 1;

} // namespace

std::string packSnapshot(const gateway::fleet_snapshot& snapshot)
{
    std::string packed;
    io::StringOutputStream out(&packed);
    io::GzipOutputStream::Options options;
    options.compression_level = compressionLevel;
    io::GzipOutputStream zipped(&out, options);
    snapshot.SerializeToZeroCopyStream(&zipped);
    zipped.Close();
    return packed;
}

std::optional<gateway::fleet_snapshot> unpackSnapshot(const std::string& packed, std::size_t largest)
{
    io::ArrayInputStream in(packed.data(), static_cast<int>(packed.size()));
    io::GzipInputStream unzipped(&in);
    std::string bytes;
    const void* piece = nullptr;
    int size = 0;
    while (unzipped.Next(&piece, &size)) {
        bytes.append(static_cast<const char*>(piece), static_cast<std::size_t>(size));
        if (bytes.size() > largest)
            return std::nullopt;
    }
    gateway::fleet_snapshot snapshot;
    if (unzipped.ZlibErrorCode() != Z_STREAM_END || !snapshot.ParseFromString(bytes))
        return std::nullopt;
    return snapshot;
}

} // namespace rampgap
