# Soak test: randomised runs of the platform's daemon as real processes under
# faults injected from outside. The program itself contains fakes of the store,
# routers, upstreams and callers.
set(soak_dir ${CMAKE_CURRENT_LIST_DIR})
file(GLOB soak_sources CONFIGURE_DEPENDS ${soak_dir}/*.cpp)
set(soak_tests ${soak_sources})
list(FILTER soak_sources EXCLUDE REGEX "(_test|/main)\\.cpp$")
list(FILTER soak_tests INCLUDE REGEX "_test\\.cpp$")
add_library(sassafrasknot_soak STATIC ${soak_sources})
target_include_directories(sassafrasknot_soak PUBLIC ${soak_dir})
target_compile_options(sassafrasknot_soak PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(sassafrasknot_soak PUBLIC sassafrasknot_platform_stand_ins)
add_executable(soak ${soak_dir}/main.cpp)
target_compile_options(soak PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(soak PRIVATE sassafrasknot_soak sassafrasknot_stand_ins)
add_dependencies(soak sassafrasknot_platform_daemon)
set_target_properties(soak PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)

if(SASSAFRASKNOT_TESTS)
  sassafrasknot_tests(sassafrasknot_soak_test "${soak_tests}" sassafrasknot_soak)
  # Seed 3 gives a run with planned work only, seed 4 one with all faults. Seeds
  # of regressions are added here, each with a line on its cause.
  foreach(seed 3 4)
    add_test(NAME soak_${seed}
      COMMAND soak --seed ${seed} --seconds 8 --folder ${PROJECT_BINARY_DIR}/soak-${seed}
        --daemon $<TARGET_FILE:sassafrasknot_platform_daemon>)
  endforeach()
  # Review case 6: late drains while instances pass on old confirmations.
  add_test(NAME soak_turn_readers_away
    COMMAND soak --seed 3 --seconds 8 --faults turn-readers-away
      --folder ${PROJECT_BINARY_DIR}/soak-turn-readers-away
      --daemon $<TARGET_FILE:sassafrasknot_platform_daemon>)
  add_test(NAME soak_finds_deliberate_faults
    COMMAND ${soak_dir}/sabotage_test.sh $<TARGET_FILE:soak>
      $<TARGET_FILE:sassafrasknot_platform_daemon>)
endif()
