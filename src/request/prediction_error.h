#ifndef SRC_REQUEST_PREDICTION_ERROR_H_
#define SRC_REQUEST_PREDICTION_ERROR_H_

#include <chrono>
#include <map>

#include "celerypost/types.h"
#include "src/request/engine_model.h"

namespace celerypost {

struct PredictionErrorOptions {
  // Share of the requests whose first event is to come within the prediction
  // and the allowance.
  double quantile = 0.7;
  // A first event after the allowance raises it by `quantile` of this, one
  // before lowers it by the rest.
  Milliseconds step{20};
  // Largest allowance.
  Milliseconds max_allowance{400};
};

// Learns by how much first events come later than predicted, for each service.
// Predictions leave out what a gateway cannot know: requests that other
// gateways have sent since their last reports, and how far a target's current
// pass has come. Admission adds the allowance, a quantile of the error, to each
// prediction. Each gateway has its own object. Performs no I/O.
class PredictionErrors {
 public:
  explicit PredictionErrors(PredictionErrorOptions options)
      : options(options) {}

  // The first event of a request came `measured` after it was sent.
  void OnFirstEvent(const ServiceName& service,
                    std::chrono::milliseconds predicted,
                    std::chrono::milliseconds measured);
  // 0 for a service without first events so far.
  std::chrono::milliseconds AllowanceOf(const ServiceName& service) const;
  // Of all services, for the metrics.
  std::chrono::milliseconds LargestAllowance() const;

 private:
  PredictionErrorOptions options;
  std::map<ServiceName, Milliseconds> allowances;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_PREDICTION_ERROR_H_
