/// @file
/// Non-blocking TCP connection.
#pragma once

#include "base/time.h"
#include "memory/charge.h"
#include "memory/owner.h"
#include "net/address.h"
#include "net/loop.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace chicorygap::memory {
class account;
}

namespace chicorygap::net {

/// How a connection ended.
enum class stream_end {
    orderly,         ///< the other side closed it after its last byte
    reset,           ///< reset, or no path to the other side
    connect_failed,  ///< never established; nothing was sent
    timeout,         ///< not established, or written data not taken, in time
};

/// What a stream reports.
struct stream_hooks {
    /// The connection is established.
    std::function<void()> connected;
    /// Bytes arrived; they are not kept.
    std::function<void(std::string_view)> received;
    /// All bytes given to `write` were handed to the kernel.
    std::function<void()> drained;
    /// The connection is closed; nothing else is reported afterwards. Not called after `close`.
    std::function<void(stream_end)> ended;
};

/// Non-blocking TCP connection with an output buffer.
///
/// Usage: `auto s = stream::connect(l, address, 500ms, hooks); s->write("..."); s->close();`
/// A stream is shared, because a callback may release its owner's last reference.
class stream : public std::enable_shared_from_this<stream> {
public:
    /// Starts to connect. A failure is reported by `hooks.ended`, never by an exception.
    /// @param timeout longest time until the connection is established.
    static std::shared_ptr<stream> connect(loop& l, const address& to, base::duration timeout,
                                           stream_hooks hooks);

    /// Takes over a connection that was accepted.
    static std::shared_ptr<stream> adopt(loop& l, const Poco::Net::StreamSocket& socket, stream_hooks hooks);

    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// Sends bytes, or keeps them until the connection takes them. Ignored after the end. Calls no hook: a
    /// failure is reported in the next round of the loop.
    void write(std::string_view bytes);

    /// Like `write`, but sends from the caller's bytes, which are not copied unless more is written before
    /// the connection has taken them.
    /// @param bytes must not be null.
    void write_shared(std::shared_ptr<const std::string> bytes);

    /// Counts the output buffer, and the kernel's receive buffer while reading is paused, on an account.
    /// Bounds the receive buffer.
    /// @param a account that outlives the stream; null counts nothing.
    /// @param output what the output is held for.
    void set_account(memory::account* a, memory::owner output);

    /// @return bytes given to `write` that the kernel has not taken.
    [[nodiscard]] std::size_t buffered() const noexcept { return own_buffered() + shared_buffered(); }

    /// @return bytes given to `write` that the other side has not acknowledged, as far as the kernel tells.
    [[nodiscard]] std::size_t unacknowledged() const;

    /// @return when the kernel last took bytes, or the buffer was last empty.
    [[nodiscard]] base::time_point last_progress() const noexcept { return last_progress_; }

    /// Stops or continues reading, to slow the sender down.
    void pause_reading(bool paused);

    /// Ends the output after all of it was handed to the kernel, and closes once the other side has closed or
    /// had its time to. `hooks.ended` is called then; input is dropped meanwhile.
    void close_when_drained();

    /// Closes at once; buffered output is lost and no hook is called any more. The kernel still delivers what
    /// it has taken, also when a cut link heals later.
    void close();

    /// Closes at once and resets the connection, so that bytes which the kernel has taken are not delivered
    /// any more. To be used where the other side must not act on them later.
    void reset();

    [[nodiscard]] bool open() const noexcept { return !closed_; }
    [[nodiscard]] bool is_connected() const noexcept { return connected_; }

    /// Looks at the connection itself, so that an end is seen before the loop reports it.
    /// @return true if the other side has closed or reset the connection, and all it sent before was read.
    [[nodiscard]] bool peer_has_ended() const;

    /// @return true if bytes have arrived that were not read yet.
    [[nodiscard]] bool has_unread_bytes() const;

private:
    stream(loop& l, const Poco::Net::StreamSocket& socket, stream_hooks hooks);

    void start(bool connected);
    void watch();
    void on_ready(readiness r);
    void on_connected();
    void read_available();
    void flush();
    /// Hands output to the kernel until it takes no more.
    /// @return false if the connection has failed.
    bool send_buffered();
    /// Gives up the memory of output that was sent.
    void release_sent();
    void discard_output();
    [[nodiscard]] std::size_t own_buffered() const noexcept { return output_.size() - written_; }
    [[nodiscard]] std::size_t shared_buffered() const noexcept {
        return shared_output_ ? shared_output_->size() - shared_written_ : 0;
    }
    void shut_down_output();
    void end(stream_end how);
    void end_later(stream_end how);
    void update_interest();

    loop& loop_;
    Poco::Net::StreamSocket socket_;
    std::shared_ptr<const stream_hooks> hooks_;
    timer_id deadline_timer_ = timer_id::none;
    std::string output_;
    std::size_t written_ = 0;
    /// Follows the bytes of `output_`.
    std::shared_ptr<const std::string> shared_output_;
    std::size_t shared_written_ = 0;
    memory::charge output_charge_;
    memory::charge kernel_charge_;
    base::time_point last_progress_;
    bool connected_ = false;
    bool closed_ = false;
    bool closing_ = false;
    bool read_paused_ = false;
    /// A call has taken the error of the socket. The next read would see an orderly end.
    mutable bool failed_ = false;
    bool unwatched_ = false;  ///< failed while reading was paused
    bool wants_write_ = false;
};

}  // namespace chicorygap::net
