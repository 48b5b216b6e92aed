#include "src/request/prediction_error.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(PredictionErrorTest) {
  PredictionErrors errors{{}};
  ServiceName service{"model"};

  void Observe(int times, milliseconds predicted, milliseconds measured) {
    for (int i = 0; i < times; ++i) {
      this->errors.OnFirstEvent(this->service, predicted, measured);
    }
  }
};

// Guards against an allowance before anything was measured, which would refuse
// the first requests of a new process.
TEST(PredictionErrorTest, StartsWithoutAllowance) {
  CHECK_EQUAL(0, this->errors.AllowanceOf(this->service).count());
}

// Guards against predictions that stay too short: the allowance must approach
// an error that all requests share.
TEST(PredictionErrorTest, ApproachesASteadyError) {
  this->Observe(200, milliseconds(100), milliseconds(180));
  CHECK_TRUE(this->errors.AllowanceOf(this->service) >= milliseconds(65));
  CHECK_TRUE(this->errors.AllowanceOf(this->service) <= milliseconds(100));
}

// Guards against an allowance that outlasts the overload that caused it, and
// against one without a bound, which would refuse everything.
TEST(PredictionErrorTest, IsBoundedAndFallsAgain) {
  this->Observe(1000, milliseconds(100), milliseconds(9000));
  CHECK_EQUAL(400, this->errors.AllowanceOf(this->service).count());
  this->Observe(200, milliseconds(100), milliseconds(90));
  CHECK_EQUAL(0, this->errors.AllowanceOf(this->service).count());
}

// Guards against a slow service that makes another one refuse.
TEST(PredictionErrorTest, KeepsServicesApart) {
  this->Observe(100, milliseconds(100), milliseconds(500));
  CHECK_EQUAL(0, this->errors.AllowanceOf(ServiceName("other")).count());
  CHECK_TRUE(this->errors.LargestAllowance() > milliseconds(100));
}

}  // namespace
}  // namespace celerypost
