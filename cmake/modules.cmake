# Functions that define the targets of modules and programs. A module has public
# headers in include/sassafrasknot/NAME, sources and tests side by side in
# src/sassafrasknot/NAME and examples in examples/NAME.

set(SASSAFRASKNOT_COMPILE_OPTIONS -Wall -Wextra -Wpedantic -Wno-missing-field-initializers)

# Adds the library sassafrasknot::NAME, its tests and its examples.
function(sassafrasknot_module NAME)
  cmake_parse_arguments(ARG "" "" "MODULES;LIBRARIES" ${ARGN})
  set(source_dir ${PROJECT_SOURCE_DIR}/src/sassafrasknot/${NAME})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${source_dir}/*.cpp ${source_dir}/*.cc)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

  set(target sassafrasknot_${NAME})
  add_library(${target} STATIC ${sources})
  add_library(sassafrasknot::${NAME} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${NAME})
  target_include_directories(${target}
    PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${target} PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
  target_compile_features(${target} PUBLIC cxx_std_20)
  foreach(module ${ARG_MODULES})
    target_link_libraries(${target} PUBLIC sassafrasknot_${module})
  endforeach()
  target_link_libraries(${target} PUBLIC ${ARG_LIBRARIES})
  set_property(GLOBAL APPEND PROPERTY SASSAFRASKNOT_MODULES ${target})

  if(SASSAFRASKNOT_TESTS)
    sassafrasknot_tests(${target}_test "${tests}" ${target})
    sassafrasknot_examples(${NAME} ${target})
  endif()
endfunction()

# Adds the test program TARGET from the sources TESTS, linked with the library
# MODULE, and registers it with CTest. Does nothing if TESTS is empty.
function(sassafrasknot_tests TARGET TESTS MODULE)
  if(NOT TESTS)
    return()
  endif()
  add_executable(${TARGET} ${TESTS})
  target_include_directories(${TARGET} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${TARGET} PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
  target_link_libraries(${TARGET} PRIVATE ${MODULE} GTest::gtest_main
    GTest::gmock ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${TARGET} COMMAND ${TARGET})
  # With a fixed seed, RapidCheck generates the same cases on each run.
  set_tests_properties(${TARGET} PROPERTIES TIMEOUT 180
    ENVIRONMENT "RC_PARAMS=seed=7")
endfunction()

# Adds a program for each file of examples/NAME and registers it with CTest.
function(sassafrasknot_examples NAME MODULE)
  file(GLOB examples CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/examples/${NAME}/*.cpp)
  foreach(example ${examples})
    get_filename_component(base ${example} NAME_WE)
    set(target example_${NAME}_${base})
    add_executable(${target} ${example})
    target_compile_options(${target} PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
    target_link_libraries(${target} PRIVATE ${MODULE})
    add_test(NAME ${target} COMMAND ${target})
  endforeach()
endfunction()

# Adds the program NAME from the sources in apps/NAME. All sources except
# main.cpp form a library that its tests link.
function(sassafrasknot_binary NAME)
  cmake_parse_arguments(ARG "" "" "MODULES;LIBRARIES" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/apps/${NAME}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "(_test|/main)\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(${NAME}_lib STATIC ${sources})
  target_include_directories(${NAME}_lib PUBLIC ${PROJECT_SOURCE_DIR}/apps/${NAME}
    PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${NAME}_lib PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
  foreach(module ${ARG_MODULES})
    target_link_libraries(${NAME}_lib PUBLIC sassafrasknot_${module})
  endforeach()
  target_link_libraries(${NAME}_lib PUBLIC ${ARG_LIBRARIES})
  add_executable(${NAME} ${PROJECT_SOURCE_DIR}/apps/${NAME}/main.cpp)
  target_compile_options(${NAME} PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
  target_link_libraries(${NAME} PRIVATE ${NAME}_lib)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  install(TARGETS ${NAME} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  if(SASSAFRASKNOT_TESTS)
    sassafrasknot_tests(${NAME}_test "${tests}" ${NAME}_lib)
  endif()
endfunction()

# Installs the modules state and coordination as a CMake package for other
# projects.
function(sassafrasknot_install)
  foreach(name state coordination)
    install(TARGETS sassafrasknot_${name} EXPORT sassafrasknot-${name}
      ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/sassafrasknot/${name}
      DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/sassafrasknot)
    install(EXPORT sassafrasknot-${name} NAMESPACE sassafrasknot::
      DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/sassafrasknot)
  endforeach()
  configure_package_config_file(${PROJECT_SOURCE_DIR}/cmake/sassafrasknotConfig.cmake.in
    ${PROJECT_BINARY_DIR}/sassafrasknotConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/sassafrasknot)
  write_basic_package_version_file(${PROJECT_BINARY_DIR}/sassafrasknotConfigVersion.cmake
    COMPATIBILITY SameMinorVersion)
  install(FILES ${PROJECT_BINARY_DIR}/sassafrasknotConfig.cmake
    ${PROJECT_BINARY_DIR}/sassafrasknotConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/sassafrasknot)
endfunction()
