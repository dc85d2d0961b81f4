# Randomised runs of traffic cores on virtual time with fakes of callers,
# upstreams and the network.
add_library(sassafrasknot_randomised STATIC
  ${CMAKE_CURRENT_LIST_DIR}/caller.cpp
  ${CMAKE_CURRENT_LIST_DIR}/faults.cpp
  ${CMAKE_CURRENT_LIST_DIR}/network.cpp
  ${CMAKE_CURRENT_LIST_DIR}/upstream.cpp
  ${CMAKE_CURRENT_LIST_DIR}/world.cpp)
target_include_directories(sassafrasknot_randomised PUBLIC ${CMAKE_CURRENT_LIST_DIR})
target_compile_options(sassafrasknot_randomised PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(sassafrasknot_randomised PUBLIC sassafrasknot_coordination)

# Measure broken flows of this project and of a baseline that only hashes: the
# same program, linked with another traffic core.
add_executable(measure-flows ${CMAKE_CURRENT_LIST_DIR}/flows_main.cpp)
target_link_libraries(measure-flows PRIVATE sassafrasknot_randomised PkgConfig::POPT)
add_executable(measure-flows-baseline
  ${CMAKE_CURRENT_LIST_DIR}/flows_main.cpp
  ${CMAKE_CURRENT_LIST_DIR}/../baseline/traffic_core.cpp
  ${CMAKE_CURRENT_LIST_DIR}/caller.cpp
  ${CMAKE_CURRENT_LIST_DIR}/faults.cpp
  ${CMAKE_CURRENT_LIST_DIR}/network.cpp
  ${CMAKE_CURRENT_LIST_DIR}/upstream.cpp
  ${CMAKE_CURRENT_LIST_DIR}/world.cpp)
target_include_directories(measure-flows-baseline PRIVATE ${CMAKE_CURRENT_LIST_DIR})
target_link_libraries(measure-flows-baseline PRIVATE sassafrasknot_state PkgConfig::POPT)
foreach(target measure-flows measure-flows-baseline)
  target_compile_options(${target} PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
endforeach()

add_executable(randomised ${CMAKE_CURRENT_LIST_DIR}/main.cpp)
target_compile_options(randomised PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(randomised PRIVATE sassafrasknot_randomised PkgConfig::POPT)

if(SASSAFRASKNOT_TESTS)
  foreach(seed RANGE 1 6)
    add_test(NAME randomised_planned_${seed}
      COMMAND randomised --faults planned --seed ${seed} --steps 100000)
    add_test(NAME randomised_all_${seed}
      COMMAND randomised --faults all --seed ${seed} --steps 100000)
  endforeach()
  add_test(NAME randomised_finds_deliberate_faults
    COMMAND ${CMAKE_CURRENT_LIST_DIR}/sabotage_test.sh $<TARGET_FILE:randomised>)
endif()
if(SASSAFRASKNOT_TESTS)
  sassafrasknot_tests(sassafrasknot_randomised_test
    "${CMAKE_CURRENT_LIST_DIR}/world_test.cpp" sassafrasknot_randomised)
endif()
