#include "masticrill/common/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <sstream>
#include <utility>

namespace masticrill {

std::string Deflate(std::string_view bytes) {
  // The fastest level: small hosts compress several megabytes.
  constexpr int kLevel = 1;
  std::ostringstream compressed;
  Poco::DeflatingOutputStream stream(compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB, kLevel);
  stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  stream.close();
  return std::move(compressed).str();
}

Result<std::string> Inflate(std::string_view compressed, std::size_t max_bytes) {
  constexpr std::size_t kBlockBytes = std::size_t{64} << 10U;
  std::string bytes;
  try {
    Poco::MemoryInputStream input(compressed.data(),
                                  static_cast<std::streamsize>(compressed.size()));
    Poco::InflatingInputStream stream(input, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string block(kBlockBytes, '\0');
    while (stream.good()) {
      stream.read(block.data(), static_cast<std::streamsize>(block.size()));
      bytes.append(block, 0, static_cast<std::size_t>(stream.gcount()));
      if (bytes.size() > max_bytes) {
        return Fail(ErrorKind::kMalformedMessage, "Compressed bytes are larger than announced.");
      }
    }
    if (stream.eof()) {
      return bytes;
    }
  } catch (const Poco::Exception&) {
    // Falls through to the one error for all damaged input.
  }
  return Fail(ErrorKind::kMalformedMessage,
              "Compressed bytes cannot be read. Run the same version on every host.");
}

}  // namespace masticrill
