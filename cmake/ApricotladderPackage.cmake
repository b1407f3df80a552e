# Declares one layer as a package: a static library with an exported target, its headers and its install rules.
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
    # Boost.LEAF's BOOST_LEAF_CHECK is a statement expression.
    target_compile_options(${name} PRIVATE -Wthread-safety -Wno-gnu-statement-expression)
  endif()
  if(APRICOTLADDER_TSAN)
    target_compile_definitions(${name} PUBLIC APRICOTLADDER_TSAN)
  endif()
  install(TARGETS ${name} EXPORT apricotladderTargets DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/apricotladder/${name}
    FILES_MATCHING PATTERN "*.h" PATTERN "tests" EXCLUDE)
endfunction()

# Declares one Boost.Test program and registers it with CTest under its own name.
function(apricotladder_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${CMAKE_SOURCE_DIR}/tests/testmain.cpp ${arg_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${arg_LINKS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  # The seed is fixed, so that the verdict is the same in every run; scripts/fuzz.sh looks further.
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=500")
endfunction()
