# apricotladder_package(<name> SOURCES <file>... LINKS <target>...)
# Adds a layer as a static library with an exported target and install rules for the library and its headers.
function(apricotladder_package name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${arg_SOURCES})
  add_library(apricotladder::${name} ALIAS ${name})
  target_include_directories(${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/packages>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/apricotladder>)
  target_link_libraries(${name} PUBLIC ${arg_LINKS} Threads::Threads)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic)
  if(CMAKE_CXX_COMPILER_ID MATCHES Clang)
    # BOOST_LEAF_CHECK of Boost.LEAF uses GNU statement expressions.
    target_compile_options(${name} PRIVATE -Wthread-safety -Wno-gnu-statement-expression)
  endif()
  if(APRICOTLADDER_TSAN)
    target_compile_definitions(${name} PUBLIC APRICOTLADDER_TSAN)
  endif()
  install(TARGETS ${name} EXPORT apricotladderTargets DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/apricotladder/${name}
    FILES_MATCHING PATTERN "*.h" PATTERN "tests" EXCLUDE)
endfunction()

# apricotladder_test(<name> SOURCES <file>... LINKS <target>...)
# Adds a Boost.Test program and registers it with CTest under the name of its target.
function(apricotladder_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${CMAKE_SOURCE_DIR}/tests/testmain.cpp ${arg_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${arg_LINKS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  # A fixed RapidCheck seed makes the result reproducible; scripts/fuzz.sh tests with random inputs.
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=500")
endfunction()
