// Builds an exhaustive visitor for a std::variant out of lambdas.
//
//   std::visit(base::overloaded{[](const timer&) {}, [](const stop&) {}}, e);
#pragma once

namespace pollenreel::base {

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace pollenreel::base
