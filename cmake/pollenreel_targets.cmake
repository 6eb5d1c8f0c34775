# Functions that every library's short CMakeLists.txt uses.

find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json url)
find_package(Protobuf REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)

# Asio is compiled once, in pollenreel/asio; every unit sees it as declarations.
add_library(pollenreel_options INTERFACE)
target_compile_options(pollenreel_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Werror
  # False alarms of g++ 12 about std::string (GCC bug 105651).
  $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
target_include_directories(pollenreel_options INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_definitions(pollenreel_options INTERFACE
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED
  BOOST_BEAST_SEPARATE_COMPILATION)

# The main of every test program, compiled and linted once.
add_library(pollenreel_doctest_main OBJECT
  ${PROJECT_SOURCE_DIR}/testing/doctest_main.cpp)
target_link_libraries(pollenreel_doctest_main PRIVATE pollenreel_options)

# pollenreel_library(NAME SOURCES ... DEPENDS ... [TESTS ...])
#                   [BENCHMARKS ...] [BENCHMARK_DEPENDS ...])
# Defines library pollenreel_NAME and, from TESTS, program NAME_test; from
# BENCHMARKS, a library that the program pollenreel_bench takes in.
function(pollenreel_library name)
  cmake_parse_arguments(arg "" "" 
    "SOURCES;DEPENDS;TESTS;TEST_DEPENDS;BENCHMARKS;BENCHMARK_DEPENDS" ${ARGN})
  if(arg_SOURCES)
    add_library(pollenreel_${name} STATIC ${arg_SOURCES})
    target_link_libraries(pollenreel_${name}
      PUBLIC pollenreel_options ${arg_DEPENDS})
  else()
    add_library(pollenreel_${name} INTERFACE)
    target_link_libraries(pollenreel_${name}
      INTERFACE pollenreel_options ${arg_DEPENDS})
  endif()
  if(arg_TESTS)
    add_executable(${name}_test ${arg_TESTS})
    target_link_libraries(${name}_test
      PRIVATE pollenreel_doctest_main pollenreel_${name} ${arg_TEST_DEPENDS})
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
  if(arg_BENCHMARKS)
    add_library(${name}_benchmarks STATIC ${arg_BENCHMARKS})
    target_link_libraries(${name}_benchmarks
      PUBLIC pollenreel_${name} pollenreel_measure ${arg_BENCHMARK_DEPENDS})
    set_property(GLOBAL APPEND PROPERTY POLLENREEL_BENCHMARKS
      ${name}_benchmarks)
  endif()
endfunction()
