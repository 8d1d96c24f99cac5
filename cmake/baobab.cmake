# Declares the module modules/baobab_<name> as target baobab::<name>.
#   SOURCES  implementation files
#   DEPENDS  modules and libraries that users of the module also need
#   PRIVATE  libraries that only the implementation needs
#   TESTS    Catch2 test files; they form one executable, run by ctest
function(baobab_add_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE;TESTS" ${ARGN})
  add_library(baobab_${name} STATIC ${ARG_SOURCES})
  add_library(baobab::${name} ALIAS baobab_${name})
  target_include_directories(baobab_${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
  target_link_libraries(baobab_${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE})
  if(ARG_TESTS AND BAOBAB_TESTS)
    baobab_add_test(${name} SOURCES ${ARG_TESTS} DEPENDS baobab::${name} ${ARG_PRIVATE})
  endif()
endfunction()

# Declares the test executable <name>_test, registered with ctest as <name>.
function(baobab_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_link_libraries(${name}_test PRIVATE baobab_catch_main Catch2::Catch2 ${ARG_DEPENDS})
  add_dependencies(baobab_tests ${name}_test)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
