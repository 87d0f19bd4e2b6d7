# Helpers that declare one workspace package and its tests.

# chicorygap_package(<name> DEPENDS <targets>...)
# Builds packages/<name>/src/*.cpp as the static library chicorygap_<name>, with
# packages/<name>/include as its public header folder.
function(chicorygap_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  set(target chicorygap_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(${target} ${scope} ${ARG_DEPENDS})
  if(sources)
    chicorygap_warnings(${target})
    chicorygap_daemon_code(${target})
  endif()
  chicorygap_tests(${name})
endfunction()

# chicorygap_tests(<name>)
# Builds tests/*_test.cpp of the current folder as <name>_test and registers each case.
function(chicorygap_tests name)
  if(NOT CHICORYGAP_TESTS)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cpp)
  if(NOT sources)
    return()
  endif()
  set(target ${name}_test)
  add_executable(${target} ${sources})
  target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/tests)
  target_link_libraries(${target} PRIVATE chicorygap_${name} GTest::gtest GTest::gmock GTest::gtest_main rapidcheck)
  if(TARGET chicorygap_fakes)
    target_link_libraries(${target} PRIVATE chicorygap_fakes)
  endif()
  chicorygap_warnings(${target})
  add_test(NAME ${name} COMMAND ${target})
  set_tests_properties(${name} PROPERTIES TIMEOUT 240)
endfunction()

# chicorygap_warnings(<target>)
# Enables the warning set that every own target is clean under.
function(chicorygap_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers -Werror)
endfunction()

# chicorygap_daemon_code(<target>)
# Prepares a static library for the daemon's shared object. Hidden symbols are called without the linkage table.
function(chicorygap_daemon_code target)
  set_target_properties(${target} PROPERTIES POSITION_INDEPENDENT_CODE ON CXX_VISIBILITY_PRESET hidden
                                             VISIBILITY_INLINES_HIDDEN ON)
endfunction()
