#include "protocol/datagramauthenticator.h"

#include <sodium.h>

namespace Apricot {

namespace {

constexpr std::size_t tagBytes = crypto_auth_BYTES;

static_assert(DatagramAuthenticator::keyBytes == crypto_auth_KEYBYTES);

const unsigned char *asUnsigned(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

}

Result<DatagramAuthenticator> DatagramAuthenticator::fromHexKeys(const std::vector<std::string> &keys)
{
    if (sodium_init() < 0) {
        return fail(ErrorKind::Internal, "peerKeys: libsodium could not be initialized");
    }
    DatagramAuthenticator authenticator;
    for (const std::string &hex : keys) {
        Key key{};
        std::size_t n = 0;
        const int ec = sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), nullptr, &n, nullptr);
        if (ec != 0 || n != keyBytes || hex.size() != 2 * keyBytes) {
            return fail(ErrorKind::BadRequest, "peerKeys: a key does not consist of 64 hex digits; create one with: openssl rand -hex 32");
        }
        authenticator.m_keys.push_back(key);
    }
    if (authenticator.m_keys.empty()) {
        return fail(ErrorKind::BadRequest, "peerKeys: the list is empty; add at least one key of 64 hex digits");
    }
    return authenticator;
}

std::string DatagramAuthenticator::sign(std::string_view message) const
{
    std::string signedMessage(tagBytes, '\0');
    crypto_auth(reinterpret_cast<unsigned char *>(signedMessage.data()), asUnsigned(message), message.size(), m_keys.front().data());
    signedMessage.append(message);
    return signedMessage;
}

Result<std::string> DatagramAuthenticator::verify(std::string_view signedMessage) const
{
    if (signedMessage.size() < tagBytes) {
        return fail(ErrorKind::BadRequest, "peer message: shorter than its authentication tag");
    }
    const std::string_view message = signedMessage.substr(tagBytes);
    for (const Key &key : m_keys) {
        if (crypto_auth_verify(asUnsigned(signedMessage), asUnsigned(message), message.size(), key.data()) == 0) {
            return std::string(message);
        }
    }
    return fail(ErrorKind::BadRequest, "peer message: the authentication tag matches no key of this node; compare peerKeys on both nodes");
}

}
