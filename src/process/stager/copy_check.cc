#include "src/process/stager/copy_check.h"

#include <utility>

namespace celerypost {

CopyCheck::CopyCheck(Loop& loop,
                     ModelTarget& target,
                     size_t max_concurrent,
                     OnRead on_read,
                     std::function<void()> on_done)
    : loop(loop),
      target(target),
      max_concurrent(max_concurrent),
      on_read(std::move(on_read)),
      on_done(std::move(on_done)) {}

void CopyCheck::Start(std::string model,
                      std::vector<size_t> numbers,
                      TimePoint since) {
  ++this->generation;
  this->model = std::move(model);
  this->numbers = std::move(numbers);
  this->next = 0;
  this->unanswered = 0;
  this->is_running = true;
  this->good_since = since;
  this->started = this->loop.Now();
  this->ReadNext();
}

void CopyCheck::Cancel() {
  ++this->generation;
  this->is_running = false;
}

void CopyCheck::ReadNext() {
  while (this->unanswered < this->max_concurrent &&
         this->next < this->numbers.size()) {
    const size_t number = this->numbers[this->next++];
    ++this->unanswered;
    this->target.GetChunk(
        this->model, number,
        [this, number, began = this->generation,
         read_at = this->loop.Now()](const Result<std::string>& bytes) {
          if (began != this->generation) {
            return;
          }
          --this->unanswered;
          this->on_read(number, read_at, bytes);
          if (began == this->generation) {
            this->ReadNext();
          }
        });
  }
  if (this->is_running && this->unanswered == 0 &&
      this->next >= this->numbers.size()) {
    this->is_running = false;
    this->on_done();
  }
}

}  // namespace celerypost
