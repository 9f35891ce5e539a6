// Logging through log4cxx, whose asynchronous appender writes the lines on a thread of its own.
#include "log_func.h"

#include <atomic>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace shallotfield {

/** Capacity of the queue of the log thread. With a few hundred bytes a line it holds a few MB. */
static constexpr int LOG_QUEUE_LINES_MAX = 16384;

static std::atomic<bool> logging_started{ false };

/** Whether a value can be written without quotes: printable ASCII without spaces, quotes, equals
 * signs and backslashes. */
static bool
needs_no_quotes(std::string_view value)
{
  return !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char c) {
    return c > 0x20 && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

/** Appends a value in quotes. Bytes outside printable ASCII are written as \xNN. */
static void
append_quoted(std::string& line, std::string_view value)
{
  static constexpr std::string_view HEX = "0123456789abcdef";
  line += '"';
  for (unsigned char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += static_cast<char>(c);
    } else if (c < 0x20 || c >= 0x7f) {
      line += "\\x";
      line += HEX[c >> 4U];
      line += HEX[c & 0xfU];
    } else {
      line += static_cast<char>(c);
    }
  }
  line += '"';
}

std::string
format_log_line(log_event event, std::span<const log_field> fields)
{
  std::string line = "event=";
  line += enum_name(event);
  for (const log_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    if (needs_no_quotes(field.value)) {
      line += field.value;
    } else {
      append_quoted(line, field.value);
    }
  }
  return line;
}

void
start_logging()
{
  using namespace log4cxx;
  auto layout = std::make_shared<PatternLayout>("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} %m%n");
  auto console = std::make_shared<ConsoleAppender>(layout);
  auto queue = std::make_shared<AsyncAppender>();
  queue->setBufferSize(LOG_QUEUE_LINES_MAX);
  queue->setBlocking(false);
  queue->addAppender(console);
  Logger::getRootLogger()->removeAllAppenders();
  Logger::getRootLogger()->addAppender(queue);
  logging_started = true;
}

void
stop_logging()
{
  if (logging_started.exchange(false)) {
    log4cxx::LogManager::shutdown();
  }
}

void
write_log(log_event event, const std::vector<log_field>& fields)
{
  if (!logging_started) {
    return;
  }
  static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("shallotfield");
  if (event == log_event::alarm) {
    LOG4CXX_ERROR(logger, format_log_line(event, fields));
  } else {
    LOG4CXX_INFO(logger, format_log_line(event, fields));
  }
}

} // namespace shallotfield
