#include "baobab_http/problem.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>
#include <chrono>

namespace baobab {

auto ProblemBody(const Problem& problem) -> std::string {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(problem.status_));
  boost::json::object body;
  body["type"] = "about:blank";
  body["title"] = boost::json::string_view(reason.data(), reason.size());
  body["status"] = problem.status_;
  body["detail"] = problem.detail_;
  const auto outcome = ToString(problem.outcome_);
  body["outcome"] = boost::json::string_view(outcome.data(), outcome.size());
  body["step"] = problem.step_;
  body["peer"] = problem.peer_;
  return boost::json::serialize(body);
}

auto ProblemResponse(const Problem& problem) -> HttpResponse {
  HttpResponse response;
  response.status_ = problem.status_;
  response.content_type_ = "application/problem+json";
  if (problem.retry_after_) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*problem.retry_after_).count();
    response.headers_.push_back(
        {"Retry-After",
         std::to_string(std::max<decltype(seconds)>(seconds, 1))});
  }
  response.body_ = ProblemBody(problem);
  return response;
}

}  // namespace baobab
