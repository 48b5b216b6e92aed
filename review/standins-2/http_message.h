#ifndef REVIEW_STANDINS_2_HTTP_MESSAGE_H_
#define REVIEW_STANDINS_2_HTTP_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

// One HTTP/1.1 message. Header names are in lower case.
struct Message {
  // The request line or the status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the value of the first header with this name, or "".
  std::string Header(std::string_view name) const;
  // Of a request: the method, and the target with its query.
  std::string Method() const;
  std::string Target() const;
  // Of a response.
  int Status() const;
};

// A blocking connection; closes its descriptor.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Reads one message with a length or in chunks, without trailers. Returns
  // false when the connection has ended or the bytes are no message.
  bool Read(Message& message);
  // Sends all bytes; returns false when the connection has ended.
  bool Write(std::string_view bytes) const;

 private:
  bool Fill();

  const int descriptor;
  std::string unread;
};

// Connects to an IPv4 address; returns -1 on failure. Reads and writes fail
// after `timeout_ms`.
int Connect(const std::string& ip, uint16_t port, int timeout_ms);

// Accepts connections until the listener is shut down. Each connection is
// handled in a thread of its own. Returns the descriptor of the listener, or -1
// if the address is in use.
int Serve(const std::string& ip,
          uint16_t port,
          std::function<void(Connection&)> handle);

// Ends a listener; connections stay open.
void StopListening(int listener);

// Returns a response with a length. `headers` are complete lines.
std::string MakeResponse(int status,
                         const std::string& headers,
                         const std::string& body);

// Splits a target into its path and the decoded parameters of its query.
std::string ParseTarget(const std::string& target,
                        std::map<std::string, std::string>& parameters);

// Milliseconds of the steady clock.
double NowMs();
void SleepMs(double time);

}  // namespace review

#endif  // REVIEW_STANDINS_2_HTTP_MESSAGE_H_
